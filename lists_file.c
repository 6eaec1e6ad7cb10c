#include "lists_file.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LISTS_FILE_MAGIC "marjoramlatch-config"
#define LISTS_FILE_MAX_BYTES (8 << 20)
#define LISTS_FILE_PATH_LEN 512

static enum res lists_file_write_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = write(fd, data, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return RES_IO;
		data += n;
		len -= (size_t)n;
	}
	return RES_OK;
}

static enum res lists_file_write(const char *path, const struct lists *l,
				 struct err *e)
{
	char head[128];
	int n = snprintf(head, sizeof(head), "%s %" PRId64 " %s\n",
			 LISTS_FILE_MAGIC, l->version, l->digest);
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	bool ok;

	if (fd < 0)
		return err_errno(e, RES_IO, path);
	ok = lists_file_write_all(fd, head, (size_t)n) == RES_OK &&
	     lists_file_write_all(fd, l->text, l->len) == RES_OK && !fsync(fd);
	if (!ok)
		err_errno(e, RES_IO, path);
	close(fd);
	return ok ? RES_OK : RES_IO;
}

static enum res lists_file_sync_folder(const char *folder, struct err *e)
{
	int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	bool ok;

	if (fd < 0)
		return err_errno(e, RES_IO, folder);
	ok = !fsync(fd);
	if (!ok)
		err_errno(e, RES_IO, folder);
	close(fd);
	return ok ? RES_OK : RES_IO;
}

enum res lists_file_save(const char *folder, const struct lists *l,
			 struct err *e)
{
	char path[LISTS_FILE_PATH_LEN];
	char temporary[LISTS_FILE_PATH_LEN];

	snprintf(path, sizeof(path), "%s/config", folder);
	snprintf(temporary, sizeof(temporary), "%s/config.new", folder);
	if (lists_file_write(temporary, l, e) != RES_OK)
		return RES_IO;
	if (rename(temporary, path))
		return err_errno(e, RES_IO, path);
	return lists_file_sync_folder(folder, e);
}

static char *lists_file_read(const char *path, size_t *len, struct err *e)
{
	FILE *f = fopen(path, "re");
	char *mem;

	if (!f) {
		err_errno(e, RES_IO, path);
		return NULL;
	}
	mem = malloc(LISTS_FILE_MAX_BYTES + 1);
	if (!mem)
		abort();
	*len = fread(mem, 1, LISTS_FILE_MAX_BYTES, f);
	mem[*len] = '\0';
	if (ferror(f)) {
		err_errno(e, RES_IO, path);
		free(mem);
		mem = NULL;
	}
	fclose(f);
	return mem;
}

static struct lists *lists_file_parse(const char *path, const char *mem,
				      size_t len, struct err *e)
{
	const char *text = memchr(mem, '\n', len);
	char digest[ID_LEN];
	char actual[ID_LEN];
	int64_t version;

	if (!text || sscanf(mem, LISTS_FILE_MAGIC " %" SCNd64 " %31s", &version,
			    digest) != 2) {
		err_set(e, RES_CORRUPT, "%s: no valid first line", path);
		return NULL;
	}
	text++;
	lst_digest(text, len - (size_t)(text - mem), actual);
	if (strcmp(digest, actual) != 0) {
		err_set(e, RES_CORRUPT, "%s: digest %s, expected %s", path,
			actual, digest);
		return NULL;
	}
	return lst_parse(text, len - (size_t)(text - mem), version, e);
}

struct lists *lists_file_load(const char *folder, struct err *e)
{
	char path[LISTS_FILE_PATH_LEN];
	struct lists *l;
	size_t len;
	char *mem;

	snprintf(path, sizeof(path), "%s/config", folder);
	mem = lists_file_read(path, &len, e);
	if (!mem)
		return NULL;
	l = lists_file_parse(path, mem, len, e);
	free(mem);
	return l;
}
