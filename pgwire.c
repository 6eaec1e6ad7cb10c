#include "pgwire.h"

#include <string.h>

/* Types of the messages that a client of protocol 3 may send. */
#define CLIENT_TYPES "BCDEFHPQSXcdfp"

static uint32_t load32(const char *p)
{
	const unsigned char *u = (const unsigned char *)p;

	return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 |
	       (uint32_t)u[2] << 8 | u[3];
}

static void store32(char *p, uint32_t v)
{
	p[0] = (char)(v >> 24);
	p[1] = (char)(v >> 16);
	p[2] = (char)(v >> 8);
	p[3] = (char)v;
}

static int set_frame_error(struct err *e, const char *what, uint32_t len)
{
	err_set(e, RES_BAD_FRAME, "%s: length %lu", what, (unsigned long)len);
	return -1;
}

static int next_startup_message(const struct buf *in, struct pgw_msg *m,
				struct err *e)
{
	const char *p = buf_data(in);
	uint32_t len;

	if (buf_len(in) < 4)
		return 0;
	len = load32(p);
	if (len < 8 || len > PGW_MAX_STARTUP_LEN)
		return set_frame_error(e, "malformed startup message", len);
	if (buf_len(in) < len)
		return 0;
	*m = (struct pgw_msg){
		.startup_code = (int32_t)load32(p + 4),
		.body = p + 8,
		.len = len - 8,
		.total = len,
	};
	return 1;
}

static int next_typed_message(const struct buf *in, struct pgw_msg *m,
			      struct err *e)
{
	const char *p = buf_data(in);
	uint32_t len;

	if (!p[0] || !strchr(CLIENT_TYPES, p[0])) {
		err_set(e, RES_BAD_FRAME, "unknown message type %d",
			(unsigned char)p[0]);
		return -1;
	}
	if (buf_len(in) < 5)
		return 0;
	len = load32(p + 1);
	if (len < 4 || len > PGW_MAX_MESSAGE_LEN)
		return set_frame_error(e, "malformed message", len);
	if (buf_len(in) < (size_t)len + 1)
		return 0;
	*m = (struct pgw_msg){
		.type = p[0],
		.body = p + 5,
		.len = len - 4,
		.total = (size_t)len + 1,
	};
	return 1;
}

int pgw_next_message(const struct buf *in, bool startup, struct pgw_msg *m,
		     struct err *e)
{
	if (!buf_len(in))
		return 0;
	return startup ? next_startup_message(in, m, e)
		       : next_typed_message(in, m, e);
}

void pgw_reader_init(struct pgw_reader *r, const struct pgw_msg *m)
{
	r->p = m->body;
	r->end = m->body + m->len;
	r->bad = false;
}

const char *pgw_get_bytes(struct pgw_reader *r, size_t len)
{
	const char *p = r->p;

	if (r->bad || len > (size_t)(r->end - r->p)) {
		r->bad = true;
		return NULL;
	}
	r->p += len;
	return p;
}

int32_t pgw_get_int32(struct pgw_reader *r)
{
	const char *p = pgw_get_bytes(r, 4);

	return p ? (int32_t)load32(p) : 0;
}

int16_t pgw_get_int16(struct pgw_reader *r)
{
	const unsigned char *p = (const unsigned char *)pgw_get_bytes(r, 2);

	return p ? (int16_t)(p[0] << 8 | p[1]) : 0;
}

char pgw_get_byte(struct pgw_reader *r)
{
	const char *p = pgw_get_bytes(r, 1);

	return p ? *p : 0;
}

const char *pgw_get_string(struct pgw_reader *r)
{
	const char *p = r->p;
	const char *zero = NULL;

	if (!r->bad && r->p < r->end)
		zero = memchr(p, 0, (size_t)(r->end - r->p));
	if (!zero) {
		r->bad = true;
		return "";
	}
	r->p = zero + 1;
	return p;
}

static void put_int32(struct buf *out, int32_t v)
{
	char b[4];

	store32(b, (uint32_t)v);
	buf_add(out, b, sizeof(b));
}

static void put_int16(struct buf *out, int v)
{
	char b[2] = {(char)((unsigned)v >> 8), (char)v};

	buf_add(out, b, sizeof(b));
}

static void put_string(struct buf *out, const char *s)
{
	buf_add(out, s, strlen(s) + 1);
}

/* Starts a message and returns its offset for finish_message(). The offset is
 * relative to the start of the unread data, because appending may move the data
 * inside the buffer. */
static size_t begin_message(struct buf *out, char type)
{
	size_t mark = buf_len(out);

	buf_add(out, &type, 1);
	put_int32(out, 0);
	return mark;
}

/* Writes the length of the message that starts at the offset mark. */
static void finish_message(struct buf *out, size_t mark)
{
	size_t len = buf_len(out) - mark - 1;

	store32(buf_data(out) + mark + 1, (uint32_t)len);
}

void pgw_put_auth_ok(struct buf *out)
{
	size_t mark = begin_message(out, 'R');

	put_int32(out, 0);
	finish_message(out, mark);
}

void pgw_put_auth_cleartext_password(struct buf *out)
{
	size_t mark = begin_message(out, 'R');

	put_int32(out, 3);
	finish_message(out, mark);
}

void pgw_put_parameter_status(struct buf *out, const char *name,
			      const char *value)
{
	size_t mark = begin_message(out, 'S');

	put_string(out, name);
	put_string(out, value);
	finish_message(out, mark);
}

void pgw_put_backend_key_data(struct buf *out, int32_t pid, int32_t secret)
{
	size_t mark = begin_message(out, 'K');

	put_int32(out, pid);
	put_int32(out, secret);
	finish_message(out, mark);
}

void pgw_put_ready_for_query(struct buf *out, char txn)
{
	size_t mark = begin_message(out, 'Z');

	buf_add(out, &txn, 1);
	finish_message(out, mark);
}

static void put_field(struct buf *out, char code, const char *text)
{
	if (!text)
		return;
	buf_add(out, &code, 1);
	put_string(out, text);
}

static void put_fields(struct buf *out, char type, const struct pgw_error *f)
{
	size_t mark = begin_message(out, type);

	put_field(out, 'S', f->severity);
	put_field(out, 'V', f->severity);
	put_field(out, 'C', f->sqlstate);
	put_field(out, 'M', f->message);
	put_field(out, 'D', f->detail);
	put_field(out, 'H', f->hint);
	buf_add(out, "", 1);
	finish_message(out, mark);
}

void pgw_put_error(struct buf *out, const struct pgw_error *error)
{
	put_fields(out, 'E', error);
}

void pgw_put_notice(struct buf *out, const struct pgw_error *notice)
{
	put_fields(out, 'N', notice);
}

void pgw_put_row_description(struct buf *out, const struct pgw_column *cols,
			     int ncols)
{
	size_t mark = begin_message(out, 'T');
	int i;

	put_int16(out, ncols);
	for (i = 0; i < ncols; i++) {
		put_string(out, cols[i].name);
		put_int32(out, cols[i].table);
		put_int16(out, cols[i].number);
		put_int32(out, cols[i].type);
		put_int16(out, cols[i].size);
		put_int32(out, cols[i].modifier);
		put_int16(out, cols[i].format);
	}
	finish_message(out, mark);
}

void pgw_put_command_complete(struct buf *out, const char *tag)
{
	size_t mark = begin_message(out, 'C');

	put_string(out, tag);
	finish_message(out, mark);
}

void pgw_put_bodyless_message(struct buf *out, char type)
{
	finish_message(out, begin_message(out, type));
}

void pgw_put_parameter_description(struct buf *out, const int32_t *types, int n)
{
	size_t mark = begin_message(out, 't');
	int i;

	put_int16(out, n);
	for (i = 0; i < n; i++)
		put_int32(out, types[i]);
	finish_message(out, mark);
}

size_t pgw_begin_data_row(struct buf *out, int ncols)
{
	size_t mark = begin_message(out, 'D');

	put_int16(out, ncols);
	return mark;
}

void pgw_put_value(struct buf *out, const char *value, int32_t len)
{
	put_int32(out, len);
	buf_add(out, value, (size_t)len);
}

void pgw_put_null(struct buf *out)
{
	put_int32(out, -1);
}

void pgw_end_data_row(struct buf *out, size_t mark)
{
	finish_message(out, mark);
}

void pgw_put_text_data_row(struct buf *out, const char *const *values, int n)
{
	size_t mark = pgw_begin_data_row(out, n);
	int i;

	for (i = 0; i < n; i++) {
		if (values[i])
			pgw_put_value(out, values[i],
				      (int32_t)strlen(values[i]));
		else
			pgw_put_null(out);
	}
	pgw_end_data_row(out, mark);
}

void pgw_put_text_row_description(struct buf *out, const char *const *names,
				  int n)
{
	size_t mark = begin_message(out, 'T');
	int i;

	put_int16(out, n);
	for (i = 0; i < n; i++) {
		put_string(out, names[i]);
		put_int32(out, 0);
		put_int16(out, 0);
		put_int32(out, 25);
		put_int16(out, -1);
		put_int32(out, -1);
		put_int16(out, 0);
	}
	finish_message(out, mark);
}
