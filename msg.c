#include "msg.h"
#include "msg_lengths.h"

#include <arpa/inet.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

enum msg_field_kind {
	FIELD_INT,
	FIELD_BOOL,
	FIELD_STR,
	FIELD_BLOB,
	FIELD_LIST
};

/* Describes one field of a struct: its place in memory and its encoding. */
struct msg_field {
	enum msg_field_kind kind;
	size_t offset;
	size_t size; /* FIELD_STR: bytes of the array; FIELD_LIST: of an entry
		      */
	size_t count_offset; /* FIELD_LIST: offset of the entry count */
	const struct msg_field
		*list_fields; /* FIELD_LIST: fields of an entry */
	size_t nlist_fields;
};

/* Descriptions of the field f of struct s, by its type. */
#define INT(s, f)                                                  \
	{                                                          \
		.kind = FIELD_INT, .offset = offsetof(struct s, f) \
	}
#define BOOL(s, f)                                                  \
	{                                                           \
		.kind = FIELD_BOOL, .offset = offsetof(struct s, f) \
	}
#define BLOB(s, f)                                                  \
	{                                                           \
		.kind = FIELD_BLOB, .offset = offsetof(struct s, f) \
	}
#define STR(s, f)                                                   \
	{                                                           \
		.kind = FIELD_STR, .offset = offsetof(struct s, f), \
		.size = sizeof(((struct s *)0)->f)                  \
	}
/* The same for a list of struct e; t describes the fields of e, and the count
 * of entries is in the field n<f>. */
#define LIST(s, f, e, t)                                                      \
	{                                                                     \
		.kind = FIELD_LIST, .offset = offsetof(struct s, f),          \
		.size = sizeof(struct e),                                     \
		.count_offset = offsetof(struct s, n##f), .list_fields = (t), \
		.nlist_fields = sizeof(t) / sizeof((t)[0])                    \
	}

static const struct msg_field hello_fields[] = {
	INT(msg_hello, version),
	STR(msg_hello, role),
	STR(msg_hello, id),
	STR(msg_hello, zone),
	INT(msg_hello, uuid),
	BLOB(msg_hello, nonce),
	BOOL(msg_hello, can_decompress)};

static const struct msg_field proof_fields[] = {BLOB(msg_proof, mac)};

static const struct msg_field demand_fields[] = {
	STR(quota_demand, customer), INT(quota_demand, in_use),
	INT(quota_demand, queued), INT(quota_demand, held_units)};

static const struct msg_field suspect_fields[] = {
	STR(suspect_report, group), INT(suspect_report, term),
	INT(suspect_report, reason), STR(suspect_report, backend)};

static const struct msg_field backend_fields[] = {
	STR(backend_info, id),
	STR(backend_info, group),
	STR(backend_info, addr),
	STR(backend_info, zone),
	INT(backend_info, incarnation),
	INT(backend_info, slots),
	INT(backend_info, connection_limit),
	BOOL(backend_info, leaving),
	BOOL(backend_info, announcements_stopped),
	INT(backend_info, version),
	BOOL(backend_info, announced_primary)};

static const struct msg_field start_fields[] = {
	INT(term_start, term), INT(term_start, start_position)};

static const struct msg_field group_fields[] = {
	STR(group_info, name),
	INT(group_info, term),
	STR(group_info, primary),
	BOOL(group_info, changing_primary),
	LIST(group_info, term_starts, term_start, start_fields),
	INT(group_info, version),
	INT(group_info, change_term),
	STR(group_info, candidate),
	INT(group_info, member_term),
	STR(group_info, late_call),
	INT(group_info, member_term_start)};

static const struct msg_field proxy_fields[] = {
	STR(proxy_info, id), STR(proxy_info, addr), STR(proxy_info, zone),
	BOOL(proxy_info, alive), INT(proxy_info, version)};

static const struct msg_field ended_fields[] = {
	STR(ended_log, id),	 STR(ended_log, group),
	STR(ended_log, addr),	 BOOL(ended_log, moves),
	BOOL(ended_log, silent), BOOL(ended_log, covered)};

static const struct msg_field orders_fields[] = {STR(group_orders, id),
						 INT(group_orders, stage)};

static const struct msg_field name_fields[] = {STR(name_entry, text)};

static const struct msg_field grant_fields[] = {STR(quota_grant, customer),
						INT(quota_grant, units),
						INT(quota_grant, floor)};

static const struct msg_field sample_fields[] = {
	STR(pos_sample, group), INT(pos_sample, term), INT(pos_sample, number),
	INT(pos_sample, sent_at_leader_ms)};

static const struct msg_field ask_fields[] = {
	INT(msg_ask, seq),
	INT(msg_ask, last_answer_seq),
	INT(msg_ask, known_lists_version),
	STR(msg_ask, lists_digest),
	INT(msg_ask, view_version),
	STR(msg_ask, addr),
	BOOL(msg_ask, stopping),
	LIST(msg_ask, demands, quota_demand, demand_fields),
	LIST(msg_ask, suspects, suspect_report, suspect_fields),
	LIST(msg_ask, backend_announcements, backend_info, backend_fields),
	INT(msg_ask, published_version),
	LIST(msg_ask, samples, pos_sample, sample_fields),
	BLOB(msg_ask, wanted_groups)};

static const struct msg_field answer_fields[] = {
	INT(msg_answer, ask_seq),
	INT(msg_answer, answer_seq),
	INT(msg_answer, res),
	STR(msg_answer, leader),
	INT(msg_answer, lease_ms),
	INT(msg_answer, grant_ms),
	LIST(msg_answer, changing_groups, name_entry, name_fields),
	LIST(msg_answer, grants, quota_grant, grant_fields),
	INT(msg_answer, current_lists_version),
	STR(msg_answer, lists_digest),
	BLOB(msg_answer, lists_text),
	INT(msg_answer, view_version),
	LIST(msg_answer, groups, group_info, group_fields),
	LIST(msg_answer, backends, backend_info, backend_fields),
	LIST(msg_answer, proxies, proxy_info, proxy_fields),
	INT(msg_answer, published_version),
	BLOB(msg_answer, packed_routes),
	INT(msg_answer, unpacked_routes_size),
	LIST(msg_answer, controls, name_entry, name_fields),
	INT(msg_answer, leader_clock),
	LIST(msg_answer, samples, pos_sample, sample_fields),
	BOOL(msg_answer, supports_lease),
	LIST(msg_answer, ended_logs, ended_log, ended_fields),
	LIST(msg_answer, orders, group_orders, orders_fields)};

static const struct msg_field apply_fields[] = {
	INT(msg_apply, seq), STR(msg_apply, request_id),
	STR(msg_apply, operator_name), INT(msg_apply, base_version),
	BLOB(msg_apply, lists)};

static const struct msg_field applied_fields[] = {
	INT(msg_applied, seq),
	INT(msg_applied, res),
	INT(msg_applied, version),
	STR(msg_applied, digest),
	STR(msg_applied, version_operator),
	INT(msg_applied, version_written_at),
	BLOB(msg_applied, text)};

static const struct msg_field query_fields[] = {INT(msg_query, seq),
						BLOB(msg_query, report_name)};

static const struct msg_field cell_fields[] = {BLOB(report_cell, text)};

static const struct msg_field rows_fields[] = {
	INT(msg_rows, seq), INT(msg_rows, res), INT(msg_rows, ncols),
	LIST(msg_rows, cells, report_cell, cell_fields)};

static const struct msg_field vote_fields[] = {
	INT(msg_vote, term),	  INT(msg_vote, uuid),
	BOOL(msg_vote, pre_vote), INT(msg_vote, last_index),
	INT(msg_vote, last_term), BOOL(msg_vote, leadership_transfer)};

static const struct msg_field voted_fields[] = {
	INT(msg_voted, term), INT(msg_voted, uuid), BOOL(msg_voted, pre_vote),
	BOOL(msg_voted, granted)};

static const struct msg_field entry_fields[] = {
	INT(raft_entry, index), INT(raft_entry, term), INT(raft_entry, kind),
	BLOB(raft_entry, data)};

static const struct msg_field append_fields[] = {
	INT(msg_append, term),
	INT(msg_append, uuid),
	INT(msg_append, heartbeat_round),
	INT(msg_append, prev_index),
	INT(msg_append, prev_term),
	INT(msg_append, commit),
	LIST(msg_append, entries, raft_entry, entry_fields),
	BOOL(msg_append, start_election_now)};

static const struct msg_field appended_fields[] = {
	INT(msg_appended, term), INT(msg_appended, uuid),
	INT(msg_appended, heartbeat_round), BOOL(msg_appended, entries_matched),
	INT(msg_appended, match_index_or_hint)};

static const struct msg_field snapshot_fields[] = {
	INT(msg_snapshot, term),
	INT(msg_snapshot, uuid),
	INT(msg_snapshot, heartbeat_round),
	INT(msg_snapshot, last_index),
	INT(msg_snapshot, last_term),
	INT(msg_snapshot, offset),
	INT(msg_snapshot, snapshot_size),
	BLOB(msg_snapshot, data)};

static const struct msg_field installed_fields[] = {
	INT(msg_installed, term),
	INT(msg_installed, uuid),
	INT(msg_installed, heartbeat_round),
	INT(msg_installed, last_index),
	INT(msg_installed, received_bytes),
	BOOL(msg_installed, snapshot_installed)};

static const struct msg_field form_fields[] = {INT(msg_form, uuid),
					       BOOL(msg_form, data_dir_empty)};

static const struct msg_field formed_fields[] = {
	INT(msg_formed, uuid), BOOL(msg_formed, data_dir_empty),
	LIST(msg_formed, controls, name_entry, name_fields)};

static const struct msg_field param_fields[] = {
	BOOL(run_param, null), INT(run_param, format), INT(run_param, type),
	BLOB(run_param, value)};

static const struct msg_field run_fields[] = {
	INT(msg_run, run_id),
	INT(msg_run, kind),
	INT(msg_run, flags),
	STR(msg_run, group),
	STR(msg_run, backend),
	STR(msg_run, customer),
	INT(msg_run, priority),
	INT(msg_run, weight),
	INT(msg_run, term),
	INT(msg_run, min_term),
	INT(msg_run, min_position),
	INT(msg_run, max_age_ms),
	INT(msg_run, wait_limit_ms),
	INT(msg_run, answer_timeout_ms),
	INT(msg_run, fingerprint),
	INT(msg_run, pinned_conn_id),
	STR(msg_run, request_id),
	BLOB(msg_run, sql),
	LIST(msg_run, params, run_param, param_fields),
	INT(msg_run, result_format)};

static const struct msg_field data_fields[] = {INT(msg_data, run_id),
					       BLOB(msg_data, bytes)};

static const struct msg_field end_fields[] = {INT(msg_end, run_id),
					      INT(msg_end, res),
					      STR(msg_end, sqlstate),
					      BLOB(msg_end, text),
					      INT(msg_end, txn_status_char),
					      INT(msg_end, pinned_conn_id),
					      INT(msg_end, log_term),
					      INT(msg_end, applied_position),
					      INT(msg_end, write_term),
					      INT(msg_end, write_position),
					      INT(msg_end, waited_us),
					      INT(msg_end, cost_us),
					      INT(msg_end, data_age_plus_1_ms)};

static const struct msg_field cancel_fields[] = {INT(msg_cancel, run_id)};
static const struct msg_field unpin_fields[] = {INT(msg_unpin, pinned_conn_id)};
static const struct msg_field fetch_fields[] = {
	INT(msg_fetch, known_lists_version)};

static const struct msg_field config_fields[] = {
	INT(msg_config, version), STR(msg_config, digest),
	STR(msg_config, version_operator), INT(msg_config, version_written_at),
	BLOB(msg_config, lists)};

static const struct msg_field publish_fields[] = {
	INT(msg_publish, version), BLOB(msg_publish, config_text),
	BLOB(msg_publish, packed_routes),
	INT(msg_publish, unpacked_routes_size)};

static const struct msg_field database_fields[] = {
	STR(rt_database, name),
	STR(rt_database, group),
	INT(rt_database, read_freshness),
	INT(rt_database, max_age_ms),
	INT(rt_database, statement_timeout_ms),
	INT(rt_database, priority),
	INT(rt_database, objective_ms),
	BOOL(rt_database, is_public)};

static const struct msg_field tenant_fields[] = {
	STR(rt_tenant, name), INT(rt_tenant, rate_milli),
	INT(rt_tenant, burst_milli), INT(rt_tenant, priority)};

static const struct msg_field api_key_fields[] = {STR(rt_api_key, hash),
						  INT(rt_api_key, tenant)};

static const struct msg_field limits_fields[] = {STR(rt_group, name),
						 INT(rt_group, max_connections),
						 INT(rt_group, sync_replicas)};

static const struct msg_field routes_fields[] = {
	INT(msg_routes, version),
	INT(msg_routes, txn_idle_ms),
	LIST(msg_routes, databases, rt_database, database_fields),
	LIST(msg_routes, groups, rt_group, limits_fields),
	BOOL(msg_routes, has_tenants),
	LIST(msg_routes, tenants, rt_tenant, tenant_fields),
	LIST(msg_routes, api_keys, rt_api_key, api_key_fields)};

static const struct msg_field value_fields[] = {BLOB(session_setting, name),
						BLOB(session_setting, value)};

static const struct msg_field job_fields[] = {
	INT(msg_job, job_number),
	STR(msg_job, member),
	INT(msg_job, kept_conn_id),
	BOOL(msg_job, begin_txn),
	BOOL(msg_job, begin_read_only),
	BOOL(msg_job, rollback_after),
	INT(msg_job, min_term),
	INT(msg_job, min_position),
	INT(msg_job, priority),
	INT(msg_job, objective_ms),
	INT(msg_job, send_timeout_ms),
	BLOB(msg_job, job_request_id),
	BLOB(msg_job, text),
	BOOL(msg_job, prepared),
	BOOL(msg_job, prepared_writes),
	BLOB(msg_job, prepared_text),
	BLOB(msg_job, arguments),
	LIST(msg_job, session_settings, session_setting, value_fields),
	BOOL(msg_job, needs_lease),
	STR(msg_job, tenant),
	INT(msg_job, authorized_ms),
	INT(msg_job, answer_timeout_ms),
	BOOL(msg_job, fallback)};

static const struct msg_field job_end_fields[] = {
	INT(msg_job_end, job_number),
	INT(msg_job_end, status),
	BOOL(msg_job_end, sent),
	INT(msg_job_end, error),
	BLOB(msg_job_end, member_error_code),
	BLOB(msg_job_end, member_error_text),
	BLOB(msg_job_end, answer),
	INT(msg_job_end, term),
	INT(msg_job_end, position),
	INT(msg_job_end, txn_status_char),
	INT(msg_job_end, kept_conn_id),
	INT(msg_job_end, retry_ms)};

static const struct msg_field rate_demand_fields[] = {
	STR(rate_demand, tenant),      INT(rate_demand, tokens),
	INT(rate_demand, waiting),     INT(rate_demand, demand_milli),
	INT(rate_demand, share_milli), INT(rate_demand, share_burst)};

static const struct msg_field rate_ask_fields[] = {
	INT(msg_rate_ask, seq),
	LIST(msg_rate_ask, demands, rate_demand, rate_demand_fields)};

static const struct msg_field rate_grant_entry_fields[] = {
	STR(rate_grant, tenant),      INT(rate_grant, tokens),
	INT(rate_grant, wait_ms),     INT(rate_grant, valid_ms),
	INT(rate_grant, share_milli), INT(rate_grant, share_burst)};

static const struct msg_field rate_grant_fields[] = {
	INT(msg_rate_grant, seq), INT(msg_rate_grant, res),
	LIST(msg_rate_grant, grants, rate_grant, rate_grant_entry_fields),
	INT(msg_rate_grant, ask_interval_ms)};

static const struct msg_field job_cancel_fields[] = {
	INT(msg_job_cancel, job_number)};
static const struct msg_field pin_end_fields[] = {
	INT(msg_pin_end, kept_conn_id)};
static const struct msg_field pin_lost_fields[] = {
	INT(msg_pin_lost, kept_conn_id)};

/* Describes a message type. */
struct msg_layout {
	enum msg_type type;
	const char *name;
	const struct msg_field *fields;
	size_t nfields;
};

/* Takes the name of the message in upper and in lower case. */
#define LAYOUT(upper, lower)                                              \
	{                                                                 \
		MSG_##upper, #upper, lower##_fields,                      \
			sizeof(lower##_fields) / sizeof(struct msg_field) \
	}

static const struct msg_layout msg_layouts[] = {
	LAYOUT(HELLO, hello),	    LAYOUT(PROOF, proof),
	LAYOUT(ASK, ask),	    LAYOUT(ANSWER, answer),
	LAYOUT(APPLY, apply),	    LAYOUT(APPLIED, applied),
	LAYOUT(QUERY, query),	    LAYOUT(ROWS, rows),
	LAYOUT(VOTE, vote),	    LAYOUT(VOTED, voted),
	LAYOUT(APPEND, append),	    LAYOUT(APPENDED, appended),
	LAYOUT(SNAPSHOT, snapshot), LAYOUT(INSTALLED, installed),
	LAYOUT(FORM, form),	    LAYOUT(FORMED, formed),
	LAYOUT(RUN, run),	    LAYOUT(DATA, data),
	LAYOUT(END, end),	    LAYOUT(CANCEL, cancel),
	LAYOUT(UNPIN, unpin),	    LAYOUT(FETCH, fetch),
	LAYOUT(CONFIG, config),	    LAYOUT(PUBLISH, publish),
	LAYOUT(ROUTES, routes),	    LAYOUT(JOB, job),
	LAYOUT(JOB_END, job_end),   LAYOUT(JOB_CANCEL, job_cancel),
	LAYOUT(PIN_END, pin_end),   LAYOUT(PIN_LOST, pin_lost),
	LAYOUT(RATE_ASK, rate_ask), LAYOUT(RATE_GRANT, rate_grant)};

static const struct msg_layout *msg_find_layout(int64_t type)
{
	for (size_t i = 0; i < sizeof(msg_layouts) / sizeof(msg_layouts[0]);
	     i++)
		if (msg_layouts[i].type == type)
			return &msg_layouts[i];
	return NULL;
}

const char *msg_name(enum msg_type type)
{
	const struct msg_layout *layout = msg_find_layout(type);

	return layout ? layout->name : "UNKNOWN";
}

static void pack_fields(msgpack_packer *pk, const struct msg_field *f, size_t n,
			const char *base);

static void pack_field(msgpack_packer *pk, const struct msg_field *f,
		       const char *base)
{
	const char *p = base + f->offset;

	switch (f->kind) {
	case FIELD_INT:
		msgpack_pack_int64(pk, *(const int64_t *)p);
		break;
	case FIELD_BOOL:
		if (*(const bool *)p)
			msgpack_pack_true(pk);
		else
			msgpack_pack_false(pk);
		break;
	case FIELD_STR:
		msgpack_pack_str_with_body(pk, p, strnlen(p, f->size));
		break;
	case FIELD_BLOB: {
		const struct blob *b = (const struct blob *)p;

		msgpack_pack_bin_with_body(pk, b->data, b->len);
		break;
	}
	case FIELD_LIST: {
		const char *items = *(const char *const *)p;
		int64_t n = *(const int64_t *)(base + f->count_offset);

		msgpack_pack_array(pk, (size_t)n);
		for (int64_t i = 0; i < n; i++) {
			msgpack_pack_array(pk, f->nlist_fields);
			pack_fields(pk, f->list_fields, f->nlist_fields,
				    items + (size_t)i * f->size);
		}
		break;
	}
	}
}

static void pack_fields(msgpack_packer *pk, const struct msg_field *f, size_t n,
			const char *base)
{
	for (size_t i = 0; i < n; i++)
		pack_field(pk, &f[i], base);
}

/* Write callback of msgpack. */
static int msg_write_to_buf(void *data, const char *bytes, size_t len)
{
	buf_add(data, bytes, len);
	return 0;
}

void msg_encode(const struct msg *m, struct buf *out)
{
	const struct msg_layout *layout = msg_find_layout(m->type);
	msgpack_packer pk;

	if (!layout)
		abort();
	msgpack_packer_init(&pk, out, msg_write_to_buf);
	msgpack_pack_array(&pk, layout->nfields + 1);
	msgpack_pack_int64(&pk, layout->type);
	pack_fields(&pk, layout->fields, layout->nfields, (const char *)&m->u);
}

void msg_encode_frame(const struct msg *m, struct buf *out)
{
	size_t start = buf_len(out);
	uint32_t len = 0;

	buf_add(out, &len, sizeof(len));
	msg_encode(m, out);
	len = htonl((uint32_t)(buf_len(out) - start - sizeof(len)));
	memcpy(buf_data(out) + start, &len, sizeof(len));
}

struct unpacker {
	msgpack_zone *zone; /* for the blobs and lists of the message */
	const char *name; /* of the message type, for errors */
	struct err *e;
};

static enum res unpack_error(struct unpacker *u, size_t field)
{
	return err_set(u->e, RES_BAD_MESSAGE,
		       "message %s: field %zu has the wrong type or size",
		       u->name, field);
}

static enum res unpack_fields(struct unpacker *u, const struct msg_field *f,
			      size_t n, char *base,
			      const msgpack_object_array *in, size_t skip);

static bool unpack_blob(struct unpacker *u, const msgpack_object *o,
			struct blob *b)
{
	char *copy;

	if (o->type != MSGPACK_OBJECT_BIN && o->type != MSGPACK_OBJECT_STR)
		return false;
	/* The bin and str members of the union have the same layout. A final
	 * zero is added, so that text can be used as a string. */
	copy = msgpack_zone_malloc(u->zone, o->via.bin.size + 1);
	if (!copy)
		return false;
	if (o->via.bin.size)
		memcpy(copy, o->via.bin.ptr, o->via.bin.size);
	copy[o->via.bin.size] = '\0';
	b->data = copy;
	b->len = o->via.bin.size;
	return true;
}

static bool unpack_list(struct unpacker *u, const struct msg_field *f,
			char *base, const msgpack_object *o)
{
	const msgpack_object_array *in = &o->via.array;
	char *items;

	if (o->type != MSGPACK_OBJECT_ARRAY || in->size > MSG_MAX_LIST)
		return false;
	items = in->size ? msgpack_zone_malloc(u->zone, in->size * f->size)
			 : NULL;
	if (in->size && !items)
		return false;
	if (items)
		memset(items, 0, in->size * f->size);
	for (uint32_t i = 0; i < in->size; i++) {
		if (in->ptr[i].type != MSGPACK_OBJECT_ARRAY)
			return false;
		if (unpack_fields(u, f->list_fields, f->nlist_fields,
				  items + i * f->size, &in->ptr[i].via.array,
				  0))
			return false;
	}
	*(char **)(base + f->offset) = items;
	*(int64_t *)(base + f->count_offset) = in->size;
	return true;
}

static bool unpack_int(const msgpack_object *o, int64_t *out)
{
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		*out = o->via.i64;
	else if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		 o->via.u64 <= INT64_MAX)
		*out = (int64_t)o->via.u64;
	else
		return false;
	return true;
}

static bool unpack_field(struct unpacker *u, const struct msg_field *f,
			 char *base, const msgpack_object *o)
{
	char *p = base + f->offset;

	switch (f->kind) {
	case FIELD_INT:
		return unpack_int(o, (int64_t *)p);
	case FIELD_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)p = o->via.boolean;
		return true;
	case FIELD_STR:
		if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= f->size)
			return false;
		/* The pointer may be NULL for an empty string. */
		if (o->via.str.size)
			memcpy(p, o->via.str.ptr, o->via.str.size);
		p[o->via.str.size] = '\0';
		return true;
	case FIELD_BLOB:
		return unpack_blob(u, o, (struct blob *)p);
	case FIELD_LIST:
		return unpack_list(u, f, base, o);
	}
	return false;
}

/* Reads n fields into the struct at base, from element skip of the array on.
 * Missing ones keep their value, extra ones are ignored. */
static enum res unpack_fields(struct unpacker *u, const struct msg_field *f,
			      size_t n, char *base,
			      const msgpack_object_array *in, size_t skip)
{
	for (size_t i = 0; i < n && i + skip < in->size; i++)
		if (!unpack_field(u, &f[i], base, &in->ptr[i + skip]))
			return unpack_error(u, i);
	return RES_OK;
}

static enum res msg_unpack(struct msg *m, const msgpack_object *o,
			   struct unpacker *u)
{
	const struct msg_layout *layout = NULL;
	int64_t type;

	if (o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size > 0 &&
	    unpack_int(&o->via.array.ptr[0], &type))
		layout = msg_find_layout(type);
	if (!layout)
		return err_set(u->e, RES_BAD_MESSAGE,
			       "message of unknown type");
	u->name = layout->name;
	m->type = layout->type;
	return unpack_fields(u, layout->fields, layout->nfields, (char *)&m->u,
			     &o->via.array, 1);
}

enum res msg_decode(struct msg *m, const char *data, size_t len, struct err *e)
{
	struct unpacker u = {.e = e, .name = "?"};
	msgpack_unpacked in;
	size_t off = 0;
	enum res r;

	memset(m, 0, sizeof(*m));
	if (!msg_lengths_fit(data, len))
		return err_set(e, RES_BAD_MESSAGE,
			       "frame of %zu bytes is too short for its "
			       "contents",
			       len);
	msgpack_unpacked_init(&in);
	if (msgpack_unpack_next(&in, data, len, &off) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    off != len) {
		msgpack_unpacked_destroy(&in);
		return err_set(e, RES_BAD_MESSAGE,
			       "frame of %zu bytes is not one msgpack value",
			       len);
	}
	u.zone = msgpack_zone_new(1024);
	if (!u.zone)
		abort();
	m->decode_memory = u.zone;
	r = msg_unpack(m, &in.data, &u);
	msgpack_unpacked_destroy(&in);
	if (r)
		msg_free(m);
	return r;
}

void msg_free(struct msg *m)
{
	if (m->decode_memory)
		msgpack_zone_free(m->decode_memory);
	m->decode_memory = NULL;
}
