#include "store.h"

#include "counter.h"
#include "log.h"
#include "stall.h"
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
	/* A log file that exceeds this size is followed by a new one. */
	STORE_SEGMENT_MAX_BYTES = 8 << 20,
	STORE_MAX_ASIDE = 2 /* folders with damaged files that are kept */
};

/* A log file. */
struct store_segment {
	int64_t seq; /* N of its name log-N */
	/* Highest log index in it, also of records that were replaced: they are
	 * skipped only together with the record that replaced them. */
	int64_t max_index;
};

/* Content of the file "hard". */
struct store_hard_state {
	int64_t uuid;
	int64_t term;
	char vote[ID_LEN];
};

/* Begin of a snapshot file. */
struct store_snapshot_head {
	int64_t index;
	int64_t term;
	int64_t first_seq; /* first log file to replay after the snapshot */
};

struct store {
	int dir_fd; /* of the data folder */
	int lock_fd;
	int log_fd; /* of the last log file */
	int64_t log_size; /* of the last log file, without the batch */
	struct buf batch; /* records that are not written to the file yet */
	struct store_hard_state hard_state;
	struct store_segment *segments; /* by seq */
	size_t nsegments;
	int64_t snapshot_index; /* of the newest one, 0 if there is none */
};

static void store_log_name(char *out, int64_t seq)
{
	snprintf(out, STORE_NAME_LEN, "log-%016" PRId64, seq);
}

static void store_snapshot_name(char *out, int64_t index)
{
	snprintf(out, STORE_NAME_LEN, "snap-%016" PRId64, index);
}

static void store_add_segment(struct store *s, int64_t seq)
{
	s->segments =
		realloc(s->segments, (s->nsegments + 1) * sizeof(*s->segments));
	if (!s->segments)
		abort();
	s->segments[s->nsegments++] = (struct store_segment){.seq = seq};
}

static int store_compare_segments(const void *a, const void *b)
{
	const struct store_segment *x = a;
	const struct store_segment *y = b;

	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

/*
 * Finds the log files and the newest snapshot, and removes the temporary files
 * of interrupted writes.
 */
static enum res store_scan_folder(struct store *s, struct err *e)
{
	DIR *d = fdopendir(openat(s->dir_fd, ".", O_RDONLY | O_CLOEXEC));
	const struct dirent *f;

	if (!d)
		return err_errno(e, RES_IO, "data folder");
	while ((f = readdir(d))) {
		int64_t n;

		if (strstr(f->d_name, ".tmp"))
			unlinkat(s->dir_fd, f->d_name, 0);
		else if (sscanf(f->d_name, "log-%" SCNd64, &n) == 1)
			store_add_segment(s, n);
		else if (sscanf(f->d_name, "snap-%" SCNd64, &n) == 1 &&
			 n > s->snapshot_index)
			s->snapshot_index = n;
	}
	closedir(d);
	if (s->nsegments)
		qsort(s->segments, s->nsegments, sizeof(*s->segments),
		      store_compare_segments);
	return RES_OK;
}

static void store_replace_hard_state(struct store *s)
{
	struct blob none = {"", 0};
	struct buf b = BUF_INIT;

	sfile_encode(&b, &s->hard_state, sizeof(s->hard_state), &none);
	sfile_replace(s->dir_fd, "hard", &b);
	buf_free(&b);
}

static int64_t store_new_uuid(void)
{
	return (int64_t)randombytes_random() << 31 |
	       (int64_t)(randombytes_random() >> 1) | 1;
}

static enum res store_read_hard_state(struct store *s, struct err *e)
{
	struct buf b = BUF_INIT;
	enum res r;

	if (faccessat(s->dir_fd, "hard", F_OK, 0)) {
		if (s->nsegments || s->snapshot_index)
			return err_set(e, RES_CORRUPT,
				       "data folder has a log but no file "
				       "\"hard\"");
		s->hard_state.uuid = store_new_uuid();
		store_replace_hard_state(s);
		return RES_OK;
	}
	r = sfile_read(s->dir_fd, "hard", &b, e);
	if (!r)
		r = sfile_decode(&b, "hard", &s->hard_state,
				 sizeof(s->hard_state), e);
	buf_free(&b);
	return r;
}

static enum res store_open_folder(struct store *s, const char *folder,
				  struct err *e)
{
	if (mkdir(folder, 0700) && errno != EEXIST)
		return err_errno(e, RES_IO, folder);
	s->dir_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (s->dir_fd < 0)
		return err_errno(e, RES_IO, folder);
	s->lock_fd =
		openat(s->dir_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (s->lock_fd < 0)
		return err_errno(e, RES_IO, "lock file");
	if (flock(s->lock_fd, LOCK_EX | LOCK_NB))
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
	s->dir_fd = -1;
	s->lock_fd = -1;
	s->log_fd = -1;
	r = store_open_folder(s, folder, e);
	if (!r)
		r = store_scan_folder(s, e);
	if (!r)
		r = store_read_hard_state(s, e);
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
	if (s->log_fd >= 0)
		close(s->log_fd);
	if (s->lock_fd >= 0)
		close(s->lock_fd);
	if (s->dir_fd >= 0)
		close(s->dir_fd);
	buf_free(&s->batch);
	free(s->segments);
	free(s);
}

static bool store_is_data_file(const char *name)
{
	return !strncmp(name, "log-", 4) || !strncmp(name, "snap-", 5);
}

/* Removes a folder that was set aside, with its files. */
static void store_remove_aside(int dir_fd, int64_t number)
{
	char name[STORE_NAME_LEN];
	const struct dirent *f;
	DIR *d;
	int fd;

	snprintf(name, sizeof(name), "damaged-%" PRId64, number);
	fd = openat(dir_fd, name, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	d = fd < 0 ? NULL : fdopendir(fd);
	while (d && (f = readdir(d)))
		if (store_is_data_file(f->d_name) || !strcmp(f->d_name, "hard"))
			unlinkat(dirfd(d), f->d_name, 0);
	if (d)
		closedir(d);
	unlinkat(dir_fd, name, AT_REMOVEDIR);
}

/* Creates the next folder for damaged files and removes the oldest one. Returns
 * its descriptor, or -1. */
static int store_create_aside(int dir_fd, int64_t *number)
{
	DIR *d = fdopendir(openat(dir_fd, ".", O_RDONLY | O_CLOEXEC));
	char name[STORE_NAME_LEN];
	const struct dirent *f;
	int64_t n;

	*number = 1;
	while (d && (f = readdir(d)))
		if (sscanf(f->d_name, "damaged-%" SCNd64, &n) == 1 &&
		    n >= *number)
			*number = n + 1;
	if (d)
		closedir(d);
	store_remove_aside(dir_fd, *number - STORE_MAX_ASIDE);
	snprintf(name, sizeof(name), "damaged-%" PRId64, *number);
	if (mkdirat(dir_fd, name, 0700))
		return -1;
	return openat(dir_fd, name, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
}

static enum res store_move_data_files(int from, int to, struct err *e)
{
	DIR *d = fdopendir(openat(from, ".", O_RDONLY | O_CLOEXEC));
	const struct dirent *f;
	enum res r = RES_OK;

	if (!d)
		return err_errno(e, RES_IO, "data folder");
	while (!r && (f = readdir(d)))
		if (store_is_data_file(f->d_name) &&
		    renameat(from, f->d_name, to, f->d_name))
			r = err_errno(e, RES_IO, f->d_name);
	closedir(d);
	return r;
}

/* The new uuid is stored before any file is moved. */
static enum res store_move_aside(struct store *s, int64_t *number,
				 struct err *e)
{
	int to = store_create_aside(s->dir_fd, number);
	enum res r;

	if (to < 0)
		return err_errno(e, RES_IO, "folder for damaged files");
	if (linkat(s->dir_fd, "hard", to, "hard", 0) && errno != ENOENT) {
		close(to);
		return err_errno(e, RES_IO, "hard");
	}
	s->hard_state =
		(struct store_hard_state){.uuid = store_new_uuid(), .term = 1};
	store_replace_hard_state(s);
	r = store_move_data_files(s->dir_fd, to, e);
	sfile_sync(to, "damaged");
	sfile_sync(s->dir_fd, ".");
	close(to);
	return r;
}

enum res store_set_aside(const char *folder, int64_t *number, struct err *e)
{
	struct store s = {.dir_fd = -1, .lock_fd = -1};
	enum res r = store_open_folder(&s, folder, e);

	if (!r)
		r = store_move_aside(&s, number, e);
	if (s.lock_fd >= 0)
		close(s.lock_fd);
	if (s.dir_fd >= 0)
		close(s.dir_fd);
	return r;
}

int64_t store_uuid(const struct store *s)
{
	return s->hard_state.uuid;
}

static void store_open_last_segment(struct store *s)
{
	int64_t began = clk_now_us();
	char name[STORE_NAME_LEN];
	struct stat st;

	store_log_name(name, s->segments[s->nsegments - 1].seq);
	s->log_fd = openat(s->dir_fd, name,
			   O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
	if (s->log_fd < 0 || fstat(s->log_fd, &st))
		sfile_fail("open", name);
	stl_record("create", began);
	s->log_size = st.st_size;
	sfile_sync(s->dir_fd, ".");
}

static void store_begin_segment(struct store *s)
{
	int64_t seq = s->nsegments ? s->segments[s->nsegments - 1].seq + 1 : 1;

	if (s->log_fd >= 0)
		close(s->log_fd);
	store_add_segment(s, seq);
	store_open_last_segment(s);
}

static void store_remove_segments(struct store *s, int64_t first_seq)
{
	int64_t began = clk_now_us();
	char name[STORE_NAME_LEN];
	size_t n = 0;

	while (n < s->nsegments && s->segments[n].seq < first_seq) {
		store_log_name(name, s->segments[n].seq);
		unlinkat(s->dir_fd, name, 0);
		n++;
	}
	stl_record("remove", began);
	s->nsegments -= n;
	memmove(s->segments, s->segments + n,
		s->nsegments * sizeof(*s->segments));
}

static enum res store_load_snapshot(struct store *s, struct raft *r,
				    struct err *e)
{
	char name[STORE_NAME_LEN];
	struct store_snapshot_head head;
	struct buf b = BUF_INIT;
	struct blob data;
	enum res res;

	if (!s->snapshot_index)
		return RES_OK;
	store_snapshot_name(name, s->snapshot_index);
	res = sfile_read(s->dir_fd, name, &b, e);
	if (!res)
		res = sfile_decode(&b, name, &head, sizeof(head), e);
	if (!res) {
		data = (struct blob){buf_data(&b), buf_len(&b)};
		res = raft_load_snapshot(r, head.index, head.term, &data, e);
	}
	buf_free(&b);
	if (!res)
		store_remove_segments(s, head.first_seq);
	return res;
}

/*
 * Truncates the last log file at the bad record at offset bad, or fails if a
 * later batch shows that the batch of the bad record was synced.
 */
static enum res store_truncate_log(struct store *s, const char *name,
				   const struct buf *b, size_t bad,
				   struct err *e)
{
	int fd;

	if (srec_has_later_batch(buf_data(b), buf_len(b), bad))
		return err_set(e, RES_CORRUPT,
			       "%s has a bad record at offset %zu with good "
			       "ones behind it",
			       name, bad);
	log_warn("store", "event=torn_tail file=%s offset=%zu bytes=%zu", name,
		 bad, buf_len(b) - bad);
	cnt_add(CNT_log_torn, 1);
	fd = openat(s->dir_fd, name, O_WRONLY | O_CLOEXEC);
	if (fd < 0 || ftruncate(fd, (off_t)bad))
		sfile_fail("truncate", name);
	sfile_sync(fd, name);
	close(fd);
	return RES_OK;
}

/*
 * Replays the records of a log file. *last is the index of the record before
 * them. A gap is judged by the records alone: the log in memory has no entries
 * of those that the snapshot covers.
 */
static enum res store_replay_segment(struct store *s, size_t seg, struct buf *b,
				     int64_t *last, struct raft *r,
				     struct err *e)
{
	char name[STORE_NAME_LEN];
	struct raft_entry entry;
	int64_t batch;
	size_t at = 0;
	size_t n;

	store_log_name(name, s->segments[seg].seq);
	while (at < buf_len(b)) {
		n = srec_decode(buf_data(b) + at, buf_len(b) - at, &batch,
				&entry);
		if (!n && seg + 1 == s->nsegments)
			return store_truncate_log(s, name, b, at, e);
		if (!n || entry.index > *last + 1)
			return err_set(e, RES_CORRUPT,
				       "%s has a %s at offset %zu", name,
				       n ? "gap" : "bad record", at);
		raft_load_entry(r, &entry);
		*last = entry.index;
		if (entry.index > s->segments[seg].max_index)
			s->segments[seg].max_index = entry.index;
		at += n;
	}
	return RES_OK;
}

enum res store_recover(struct store *s, struct raft *r, struct err *e)
{
	enum res res;
	int64_t last;

	/* The process before may have ended between a rename, or a write of the
	 * last log file, and its sync. What is read counts as stored. */
	sfile_sync(s->dir_fd, ".");
	res = store_load_snapshot(s, r, e);
	last = raft_last_index(r);
	raft_load_hard_state(r, s->hard_state.term, s->hard_state.vote);
	for (size_t i = 0; i < s->nsegments && !res; i++) {
		char name[STORE_NAME_LEN];
		struct buf b = BUF_INIT;

		store_log_name(name, s->segments[i].seq);
		res = sfile_read(s->dir_fd, name, &b, e);
		if (!res)
			res = store_replay_segment(s, i, &b, &last, r, e);
		buf_free(&b);
	}
	if (res)
		return res;
	if (!s->nsegments)
		store_add_segment(s, 1);
	store_open_last_segment(s);
	sfile_sync(s->log_fd, "log");
	return RES_OK;
}

void store_save_hard_state(struct store *s, int64_t term, const char *vote)
{
	s->hard_state.term = term;
	memset(s->hard_state.vote, 0, sizeof(s->hard_state.vote));
	snprintf(s->hard_state.vote, sizeof(s->hard_state.vote), "%s", vote);
	store_replace_hard_state(s);
}

void store_append_entry(struct store *s, const struct raft_entry *e)
{
	struct store_segment *seg = &s->segments[s->nsegments - 1];

	srec_append(&s->batch, s->log_size, e);
	if (e->index > seg->max_index)
		seg->max_index = e->index;
}

void store_sync(struct store *s)
{
	if (!buf_len(&s->batch))
		return;
	sfile_write(s->log_fd, "log", buf_data(&s->batch), buf_len(&s->batch));
	sfile_sync(s->log_fd, "log");
	s->log_size += (int64_t)buf_len(&s->batch);
	buf_consume(&s->batch, buf_len(&s->batch));
	cnt_add(CNT_log_synced, 1);
	if (s->log_size > STORE_SEGMENT_MAX_BYTES)
		store_begin_segment(s);
}

/* Number of the first log file with entries after those of a snapshot. */
static int64_t store_first_needed_segment(const struct store *s, int64_t index)
{
	size_t i = 0;

	while (i + 1 < s->nsegments && s->segments[i].max_index <= index)
		i++;
	return s->segments[i].seq;
}

void store_save_snapshot(struct store *s, int64_t index, int64_t term,
			 const struct blob *data, bool discard)
{
	struct store_snapshot_head head = {.index = index, .term = term};
	char name[STORE_NAME_LEN];
	struct buf b = BUF_INIT;
	int64_t old = s->snapshot_index;

	store_sync(s);
	store_begin_segment(s);
	head.first_seq = discard ? s->segments[s->nsegments - 1].seq
				 : store_first_needed_segment(s, index);
	store_snapshot_name(name, index);
	sfile_encode(&b, &head, sizeof(head), data);
	sfile_replace(s->dir_fd, name, &b);
	buf_free(&b);
	s->snapshot_index = index;
	store_remove_segments(s, head.first_seq);
	if (old && old != index) {
		store_snapshot_name(name, old);
		unlinkat(s->dir_fd, name, 0);
	}
	cnt_add(CNT_snapshots, 1);
}
