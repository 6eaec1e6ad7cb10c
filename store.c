#include "store.h"

#include "counter.h"
#include "log.h"
#include "store_file.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

enum {
	STORE_NAME_LEN = 32,
	STORE_SEGMENT = 8 << 20 /* bytes after which a new log file begins */
};

struct segment {
	int64_t seq;
	int64_t max_index;
};

struct store_hard {
	int64_t uuid;
	int64_t term;
	char vote[ID_LEN];
};

struct store_snap {
	int64_t index;
	int64_t term;
	int64_t first_seq; /* older log files do not belong to it */
};

struct store {
	int dir;
	int lock;
	int fd; /* last log file */
	int64_t size; /* of it, without the batch */
	struct buf batch;
	struct store_hard hard;
	struct segment *segs;
	size_t nsegs;
	int64_t snap; /* index of the newest snapshot, 0 if there is none */
};

static void store_log_name(char *out, int64_t seq)
{
	snprintf(out, STORE_NAME_LEN, "log-%016" PRId64, seq);
}

static void store_snap_name(char *out, int64_t index)
{
	snprintf(out, STORE_NAME_LEN, "snap-%016" PRId64, index);
}

static void store_add_segment(struct store *s, int64_t seq)
{
	s->segs = realloc(s->segs, (s->nsegs + 1) * sizeof(*s->segs));
	if (!s->segs)
		abort();
	s->segs[s->nsegs++] = (struct segment){.seq = seq};
}

static int segment_order(const void *a, const void *b)
{
	const struct segment *x = a;
	const struct segment *y = b;

	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

/* Notes the files of the folder; leftovers of interrupted writes go. */
static enum res store_scan(struct store *s, struct err *e)
{
	DIR *d = fdopendir(openat(s->dir, ".", O_RDONLY | O_CLOEXEC));
	const struct dirent *f;

	if (!d)
		return err_errno(e, RES_IO, "data folder");
	while ((f = readdir(d))) {
		int64_t n;

		if (strstr(f->d_name, ".tmp"))
			unlinkat(s->dir, f->d_name, 0);
		else if (sscanf(f->d_name, "log-%" SCNd64, &n) == 1)
			store_add_segment(s, n);
		else if (sscanf(f->d_name, "snap-%" SCNd64, &n) == 1 &&
			 n > s->snap)
			s->snap = n;
	}
	closedir(d);
	if (s->nsegs)
		qsort(s->segs, s->nsegs, sizeof(*s->segs), segment_order);
	return RES_OK;
}

static void store_save_hard(struct store *s)
{
	struct blob none = {"", 0};
	struct buf b = BUF_INIT;

	sfile_seal(&b, &s->hard, sizeof(s->hard), &none);
	sfile_replace(s->dir, "hard", &b);
	buf_free(&b);
}

static enum res store_read_hard(struct store *s, struct err *e)
{
	struct buf b = BUF_INIT;
	enum res r;

	if (faccessat(s->dir, "hard", F_OK, 0)) {
		if (s->nsegs || s->snap)
			return err_set(e, RES_CORRUPT,
				       "data folder has a log but no file "
				       "\"hard\"");
		s->hard.uuid = (int64_t)randombytes_random() << 31 |
			       (int64_t)(randombytes_random() >> 1) | 1;
		store_save_hard(s);
		return RES_OK;
	}
	r = sfile_read(s->dir, "hard", &b, e);
	if (!r)
		r = sfile_unseal(&b, "hard", &s->hard, sizeof(s->hard), e);
	buf_free(&b);
	return r;
}

static enum res store_open_folder(struct store *s, const char *folder,
				  struct err *e)
{
	if (mkdir(folder, 0700) && errno != EEXIST)
		return err_errno(e, RES_IO, folder);
	s->dir = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (s->dir < 0)
		return err_errno(e, RES_IO, folder);
	s->lock = openat(s->dir, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (s->lock < 0)
		return err_errno(e, RES_IO, "lock file");
	if (flock(s->lock, LOCK_EX | LOCK_NB))
		return err_set(e, RES_IO,
			       "data folder %s is used by another process",
			       folder);
	return RES_OK;
}

enum res store_open(struct store **out, const char *folder, struct err *e)
{
	struct store *s = calloc(1, sizeof(*s));
	enum res r;

	if (!s || sodium_init() < 0)
		abort();
	s->dir = -1;
	s->lock = -1;
	s->fd = -1;
	r = store_open_folder(s, folder, e);
	if (!r)
		r = store_scan(s, e);
	if (!r)
		r = store_read_hard(s, e);
	if (r) {
		store_close(s);
		return r;
	}
	*out = s;
	return RES_OK;
}

void store_close(struct store *s)
{
	if (!s)
		return;
	if (s->fd >= 0)
		close(s->fd);
	if (s->lock >= 0)
		close(s->lock);
	if (s->dir >= 0)
		close(s->dir);
	buf_free(&s->batch);
	free(s->segs);
	free(s);
}

int64_t store_uuid(const struct store *s)
{
	return s->hard.uuid;
}

static void store_open_last(struct store *s)
{
	char name[STORE_NAME_LEN];
	struct stat st;

	store_log_name(name, s->segs[s->nsegs - 1].seq);
	s->fd = openat(s->dir, name, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
		       0600);
	if (s->fd < 0 || fstat(s->fd, &st))
		sfile_die("open", name);
	s->size = st.st_size;
	sfile_sync(s->dir, ".");
}

static void store_next_segment(struct store *s)
{
	int64_t seq = s->nsegs ? s->segs[s->nsegs - 1].seq + 1 : 1;

	if (s->fd >= 0)
		close(s->fd);
	store_add_segment(s, seq);
	store_open_last(s);
}

static void store_drop_segments(struct store *s, int64_t first_seq)
{
	char name[STORE_NAME_LEN];
	size_t n = 0;

	while (n < s->nsegs && s->segs[n].seq < first_seq) {
		store_log_name(name, s->segs[n].seq);
		unlinkat(s->dir, name, 0);
		n++;
	}
	s->nsegs -= n;
	memmove(s->segs, s->segs + n, s->nsegs * sizeof(*s->segs));
}

static enum res store_load_snapshot(struct store *s, struct raft *r,
				    struct err *e)
{
	char name[STORE_NAME_LEN];
	struct store_snap head;
	struct buf b = BUF_INIT;
	struct blob data;
	enum res res;

	if (!s->snap)
		return RES_OK;
	store_snap_name(name, s->snap);
	res = sfile_read(s->dir, name, &b, e);
	if (!res)
		res = sfile_unseal(&b, name, &head, sizeof(head), e);
	if (!res) {
		data = (struct blob){buf_data(&b), buf_len(&b)};
		res = raft_load_snapshot(r, head.index, head.term, &data, e);
	}
	buf_free(&b);
	if (!res)
		store_drop_segments(s, head.first_seq);
	return res;
}

/* Cuts a batch that was not synced off the end of the last log file. */
static enum res store_cut(struct store *s, const char *name,
			  const struct buf *b, size_t bad, struct err *e)
{
	int fd;

	if (srec_follows(buf_data(b), buf_len(b), bad))
		return err_set(e, RES_CORRUPT,
			       "%s has a bad record at offset %zu with good "
			       "ones behind it",
			       name, bad);
	log_warn("store", "event=torn_tail file=%s offset=%zu bytes=%zu", name,
		 bad, buf_len(b) - bad);
	cnt_add(CNT_log_torn, 1);
	fd = openat(s->dir, name, O_WRONLY | O_CLOEXEC);
	if (fd < 0 || ftruncate(fd, (off_t)bad))
		sfile_die("truncate", name);
	sfile_sync(fd, name);
	close(fd);
	return RES_OK;
}

static enum res store_replay(struct store *s, size_t seg, struct buf *b,
			     struct raft *r, struct err *e)
{
	char name[STORE_NAME_LEN];
	struct raft_entry entry;
	int64_t batch;
	size_t at = 0;
	size_t n;

	store_log_name(name, s->segs[seg].seq);
	while (at < buf_len(b)) {
		n = srec_check(buf_data(b) + at, buf_len(b) - at, &batch,
			       &entry);
		if (!n && seg + 1 == s->nsegs)
			return store_cut(s, name, b, at, e);
		if (!n || entry.index > raft_last_index(r) + 1)
			return err_set(e, RES_CORRUPT,
				       "%s has a %s at offset %zu", name,
				       n ? "gap" : "bad record", at);
		raft_load_entry(r, &entry);
		if (entry.index > s->segs[seg].max_index)
			s->segs[seg].max_index = entry.index;
		at += n;
	}
	return RES_OK;
}

enum res store_recover(struct store *s, struct raft *r, struct err *e)
{
	enum res res = store_load_snapshot(s, r, e);

	raft_load_hard(r, s->hard.term, s->hard.vote);
	for (size_t i = 0; i < s->nsegs && !res; i++) {
		char name[STORE_NAME_LEN];
		struct buf b = BUF_INIT;

		store_log_name(name, s->segs[i].seq);
		res = sfile_read(s->dir, name, &b, e);
		if (!res)
			res = store_replay(s, i, &b, r, e);
		buf_free(&b);
	}
	if (res)
		return res;
	if (!s->nsegs)
		store_add_segment(s, 1);
	store_open_last(s);
	return RES_OK;
}

void store_hard(struct store *s, int64_t term, const char *vote)
{
	s->hard.term = term;
	memset(s->hard.vote, 0, sizeof(s->hard.vote));
	snprintf(s->hard.vote, sizeof(s->hard.vote), "%s", vote);
	store_save_hard(s);
}

void store_write(struct store *s, const struct raft_entry *e)
{
	struct segment *seg = &s->segs[s->nsegs - 1];

	srec_add(&s->batch, s->size, e);
	if (e->index > seg->max_index)
		seg->max_index = e->index;
}

void store_sync(struct store *s)
{
	if (!buf_len(&s->batch))
		return;
	sfile_write(s->fd, "log", buf_data(&s->batch), buf_len(&s->batch));
	sfile_sync(s->fd, "log");
	s->size += (int64_t)buf_len(&s->batch);
	buf_consume(&s->batch, buf_len(&s->batch));
	cnt_add(CNT_log_synced, 1);
	if (s->size > STORE_SEGMENT)
		store_next_segment(s);
}

/* First log file with entries behind a snapshot. */
static int64_t store_first_needed(const struct store *s, int64_t index)
{
	size_t i = 0;

	while (i + 1 < s->nsegs && s->segs[i].max_index <= index)
		i++;
	return s->segs[i].seq;
}

void store_snapshot(struct store *s, int64_t index, int64_t term,
		    const struct blob *data, bool discard)
{
	struct store_snap head = {.index = index, .term = term};
	char name[STORE_NAME_LEN];
	struct buf b = BUF_INIT;
	int64_t old = s->snap;

	store_sync(s);
	store_next_segment(s);
	head.first_seq = discard ? s->segs[s->nsegs - 1].seq
				 : store_first_needed(s, index);
	store_snap_name(name, index);
	sfile_seal(&b, &head, sizeof(head), data);
	sfile_replace(s->dir, name, &b);
	buf_free(&b);
	s->snap = index;
	store_drop_segments(s, head.first_seq);
	if (old && old != index) {
		store_snap_name(name, old);
		unlinkat(s->dir, name, 0);
	}
	cnt_add(CNT_snapshots, 1);
}
