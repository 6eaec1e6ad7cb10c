#include "store_file.h"

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "stall.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

enum {
	SREC_MAGIC = 0x4d4c5231, /* first bytes of each record */
	/* A leader that syncs for this long misses two heartbeats. */
	SFILE_SLOW_SYNC_MS = 200
};

/* Start of a record; the payload follows. */
struct srec_head {
	uint32_t magic;
	uint32_t len; /* of the payload: index, term, kind, data */
	uint64_t hash; /* of batch and payload, seeded with len */
	int64_t batch;
};

/* Start of the payload; the data of the entry follows. */
struct srec_entry_head {
	int64_t index;
	int64_t term;
	int64_t kind;
};

void sfile_fail(const char *what, const char *path)
{
	log_error("store", "event=failed what=%s file=%s error=\"%s\"", what,
		  path, strerror(errno));
	_exit(EXIT_FAILURE);
}

enum res sfile_read(int dir, const char *name, struct buf *out, struct err *e)
{
	int fd = openat(dir, name, O_RDONLY | O_CLOEXEC);
	ssize_t n;

	if (fd < 0)
		return err_errno(e, RES_IO, name);
	while ((n = read(fd, buf_reserve(out, 1 << 16), 1 << 16)) > 0)
		buf_commit(out, (size_t)n);
	close(fd);
	return n < 0 ? err_errno(e, RES_IO, name) : RES_OK;
}

void sfile_write(int fd, const char *name, const char *data, size_t len)
{
	int64_t began = clk_now_us();

	while (len > 0) {
		ssize_t n = write(fd, data, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			sfile_fail("write", name);
		data += n;
		len -= (size_t)n;
	}
	stl_record("write", began);
}

void sfile_sync(int fd, const char *name)
{
	int64_t began = clk_now_us();
	clk_ms ms;

	if (fsync(fd))
		sfile_fail("sync", name);
	stl_record("sync", began);
	ms = (clk_now_us() - began) / 1000;
	if (ms < SFILE_SLOW_SYNC_MS)
		return;
	cnt_add(CNT_slow_syncs, 1);
	log_warn("store", "event=slow_sync file=%s ms=%lld", name,
		 (long long)ms);
}

void sfile_replace(int dir, const char *name, const struct buf *data)
{
	char tmp[64];
	int64_t began = clk_now_us();
	int fd;

	snprintf(tmp, sizeof(tmp), "%s.tmp", name);
	fd = openat(dir, tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	if (fd < 0)
		sfile_fail("open", tmp);
	stl_record("create", began);
	sfile_write(fd, tmp, buf_data(data), buf_len(data));
	sfile_sync(fd, tmp);
	close(fd);
	began = clk_now_us();
	if (renameat(dir, tmp, dir, name))
		sfile_fail("rename", name);
	stl_record("rename", began);
	sfile_sync(dir, ".");
}

void sfile_encode(struct buf *out, const void *head, size_t head_len,
		  const struct blob *data)
{
	uint64_t hash = 0;
	size_t at = buf_len(out);

	buf_add(out, &hash, sizeof(hash));
	buf_add(out, head, head_len);
	buf_add(out, data->data, data->len);
	hash = XXH3_64bits(buf_data(out) + at + sizeof(hash),
			   buf_len(out) - at - sizeof(hash));
	memcpy(buf_data(out) + at, &hash, sizeof(hash));
}

enum res sfile_decode(struct buf *in, const char *name, void *head,
		      size_t head_len, struct err *e)
{
	uint64_t hash;

	if (buf_len(in) < sizeof(hash) + head_len)
		return err_set(e, RES_CORRUPT, "%s is too short", name);
	memcpy(&hash, buf_data(in), sizeof(hash));
	if (hash != XXH3_64bits(buf_data(in) + sizeof(hash),
				buf_len(in) - sizeof(hash)))
		return err_set(e, RES_CORRUPT, "%s has a wrong checksum", name);
	memcpy(head, buf_data(in) + sizeof(hash), head_len);
	buf_consume(in, sizeof(hash) + head_len);
	return RES_OK;
}

static uint64_t srec_hash(const char *record, size_t payload)
{
	return XXH3_64bits_withSeed(record + offsetof(struct srec_head, batch),
				    sizeof(struct srec_head) -
					    offsetof(struct srec_head, batch) +
					    payload,
				    payload);
}

void srec_append(struct buf *out, int64_t batch, const struct raft_entry *e)
{
	struct srec_entry_head entry_head = {e->index, e->term, e->kind};
	size_t len = sizeof(entry_head) + e->data.len;
	struct srec_head head = {
		.magic = SREC_MAGIC, .len = (uint32_t)len, .batch = batch};
	size_t at = buf_len(out);

	buf_add(out, &head, sizeof(head));
	buf_add(out, &entry_head, sizeof(entry_head));
	buf_add(out, e->data.data, e->data.len);
	head.hash = srec_hash(buf_data(out) + at, len);
	memcpy(buf_data(out) + at, &head, sizeof(head));
}

size_t srec_decode(const char *data, size_t len, int64_t *batch,
		   struct raft_entry *e)
{
	struct srec_entry_head entry_head;
	struct srec_head head;

	if (len < sizeof(head) + sizeof(entry_head))
		return 0;
	memcpy(&head, data, sizeof(head));
	if (head.magic != SREC_MAGIC || head.len < sizeof(entry_head) ||
	    head.len > STORE_RECORD_MAX_BYTES ||
	    head.len > len - sizeof(head) ||
	    head.hash != srec_hash(data, head.len))
		return 0;
	memcpy(&entry_head, data + sizeof(head), sizeof(entry_head));
	*batch = head.batch;
	e->index = entry_head.index;
	e->term = entry_head.term;
	e->kind = entry_head.kind;
	e->data.data = data + sizeof(head) + sizeof(entry_head);
	e->data.len = head.len - sizeof(entry_head);
	return sizeof(head) + head.len;
}

bool srec_has_later_batch(const char *data, size_t len, size_t bad)
{
	uint32_t magic = SREC_MAGIC;
	size_t at = bad + 1;

	while (at < len) {
		const char *p =
			memmem(data + at, len - at, &magic, sizeof(magic));
		struct raft_entry e;
		int64_t batch;

		if (!p)
			return false;
		at = (size_t)(p - data);
		if (srec_decode(p, len - at, &batch, &e) &&
		    batch > (int64_t)bad)
			return true;
		at++;
	}
	return false;
}
