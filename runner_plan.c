#include "runner_priv.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define AWAIT_SQL "SELECT marjoramlatch_await()"

static bool plan_step(struct runner *r, enum run_step step)
{
	if (r->nsteps == RUNNER_STEPS_MAX)
		return false;
	r->steps[r->nsteps++] = step;
	return true;
}

static bool plan_sql(struct runner *r, enum run_step step, const char *sql)
{
	return PQsendQueryParams(r->pg, sql, 0, NULL, NULL, NULL, NULL, 0) &&
	       plan_step(r, step);
}

static bool plan_sql_args(struct runner *r, enum run_step step, const char *sql,
			  int n, const char *const *values)
{
	return PQsendQueryParams(r->pg, sql, n, NULL, values, NULL, NULL, 0) &&
	       plan_step(r, step);
}

static bool plan_sync(struct runner *r)
{
	return PQpipelineSync(r->pg) && plan_step(r, STEP_SYNC);
}

static bool plan_status(struct runner *r)
{
	return plan_sql(r, STEP_STATUS, STATUS_SQL) && plan_sync(r);
}

/*
 * Sends what follows a commit: the query for the term and log position, and the
 * wait for confirmation by the majority.
 */
static bool plan_confirm(struct runner *r)
{
	if (!plan_sql(r, STEP_STATUS, STATUS_SQL))
		return false;
	if (r->run->flags & RUN_WAIT_MAJORITY &&
	    !plan_sql(r, STEP_AWAIT, AWAIT_SQL))
		return false;
	return plan_sync(r);
}

static bool plan_send_params(struct runner *r)
{
	const struct msg_run *run = r->run;
	size_t n = (size_t)run->nparams;
	Oid *types = calloc(n + 1, sizeof(*types));
	const char **values = calloc(n + 1, sizeof(*values));
	int *lengths = calloc(n + 1, sizeof(*lengths));
	int *formats = calloc(n + 1, sizeof(*formats));
	int ok;

	if (!types || !values || !lengths || !formats)
		abort();
	for (size_t i = 0; i < n; i++) {
		const struct run_param *p = &run->params[i];

		types[i] = (Oid)p->type;
		values[i] = p->null ? NULL : p->value.data;
		lengths[i] = (int)p->value.len;
		formats[i] = (int)p->format;
	}
	ok = PQsendQueryParams(r->pg, run->sql.data, (int)n, types, values,
			       lengths, formats, (int)run->result_format);
	free(types);
	free(values);
	free(lengths);
	free(formats);
	return ok;
}

static bool plan_statement(struct runner *r)
{
	return plan_send_params(r) && plan_step(r, STEP_STATEMENT);
}

/*
 * True if anything but white space and semicolons follows the first semicolon.
 * A semicolon inside a literal only prevents the use of a pipeline; the answer
 * is the same.
 */
static bool plan_is_batch(const struct msg_run *run)
{
	const char *semicolon;

	if (!(run->flags & RUN_SIMPLE_QUERY))
		return false;
	semicolon = strchr(run->sql.data, ';');
	if (!semicolon)
		return false;
	while (*semicolon == ';' || isspace((unsigned char)*semicolon))
		semicolon++;
	return *semicolon != '\0';
}

/* Skips white space and comments in front of a statement. */
static const char *plan_skip_comments(const char *sql)
{
	for (;;) {
		const char *end = NULL;

		while (isspace((unsigned char)*sql))
			sql++;
		if (!strncmp(sql, "/*", 2))
			end = strstr(sql, "*/");
		else if (!strncmp(sql, "--", 2))
			end = strchr(sql, '\n');
		if (!end)
			return sql;
		sql = end + (*end == '*' ? 2 : 1);
	}
}

static bool plan_is_commit(const struct msg_run *run)
{
	const char *sql = plan_skip_comments(run->sql.data);
	size_t len;

	len = strspn(sql,
		     "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ");
	return (len == 6 && !strncasecmp(sql, "commit", len)) ||
	       (len == 3 && !strncasecmp(sql, "end", len));
}

static bool plan_read(struct runner *r)
{
	return plan_sql(r, STEP_STATUS, STATUS_SQL) && plan_statement(r) &&
	       plan_sync(r);
}

/* The sync commits the statement, so that marjoramlatch_await() includes it. */
static bool plan_write(struct runner *r)
{
	return plan_statement(r) && plan_sync(r) && plan_confirm(r);
}

static bool plan_claim_row(struct runner *r)
{
	char now[24];
	const char *values[] = {r->run->customer, r->run->request_id, now};

	snprintf(now, sizeof(now), "%lld", (long long)clk_wall());
	return plan_sql_args(r, STEP_CLAIM, OUTCOME_INSERT_SQL, 3, values);
}

static bool plan_write_once(struct runner *r)
{
	r->phase = PHASE_CLAIM;
	return plan_sql(r, STEP_BEGIN, "BEGIN") && plan_claim_row(r) &&
	       plan_statement(r) && plan_sync(r);
}

static bool plan_begin(struct runner *r)
{
	if (!plan_status(r) || !plan_statement(r) || !plan_sync(r))
		return false;
	if (!(r->run->flags & RUN_RECORD_REQUEST_ID))
		return true;
	r->phase = PHASE_CLAIM;
	return plan_claim_row(r) && plan_sync(r);
}

static bool plan_txn(struct runner *r)
{
	if (!plan_statement(r) || !plan_sync(r))
		return false;
	if (!r->commits)
		return true;
	return plan_confirm(r);
}

static bool plan_prepare(struct runner *r)
{
	const struct msg_run *run = r->run;
	size_t n = (size_t)run->nparams;
	Oid *types = calloc(n + 1, sizeof(*types));
	int ok;

	if (!types)
		abort();
	for (size_t i = 0; i < n; i++)
		types[i] = (Oid)run->params[i].type;
	ok = PQsendPrepare(r->pg, "", run->sql.data, (int)n, types);
	free(types);
	return ok;
}

static bool plan_describe(struct runner *r)
{
	return plan_prepare(r) && plan_step(r, STEP_PREPARE) &&
	       PQsendDescribePrepared(r->pg, "") &&
	       plan_step(r, STEP_DESCRIBE) && plan_sync(r);
}

static bool plan_batch_claim(struct runner *r, struct buf *sql)
{
	const struct msg_run *run = r->run;
	char *customer =
		PQescapeLiteral(r->pg, run->customer, strlen(run->customer));
	char *id = PQescapeLiteral(r->pg, run->request_id,
				   strlen(run->request_id));
	bool ok = customer && id;

	if (ok)
		buf_addf(sql, OUTCOME_INSERT_BATCH_SQL, customer, id,
			 (long long)clk_wall());
	PQfreemem(customer);
	PQfreemem(id);
	r->phase = PHASE_CLAIM;
	return ok && plan_step(r, STEP_BEGIN) && plan_step(r, STEP_CLAIM);
}

/*
 * Several statements in one string require the simple query protocol, which
 * excludes the pipeline. Statements that have to precede them are put at the
 * front of the same query string.
 */
static bool plan_batch(struct runner *r)
{
	struct buf sql = BUF_INIT;
	bool ok = true;

	r->pipelined = false;
	if (r->run->kind == RUN_READ) {
		buf_addstr(&sql, STATUS_SQL "; ");
		ok = plan_step(r, STEP_STATUS);
	} else if (r->run->kind == RUN_WRITE &&
		   r->run->flags & RUN_RECORD_REQUEST_ID) {
		ok = plan_batch_claim(r, &sql);
	} else {
		r->phase = PHASE_BATCH;
	}
	buf_add(&sql, r->run->sql.data, r->run->sql.len);
	ok = ok && plan_step(r, STEP_STATEMENT) &&
	     PQsendQuery(r->pg, buf_str(&sql));
	buf_free(&sql);
	return ok;
}

static bool plan_pipeline(struct runner *r)
{
	r->pipelined = true;
	return PQenterPipelineMode(r->pg);
}

/*
 * True if a status row has to be requested ahead of the statement. Its arrival
 * shows at once that the connection still delivers data; a middlebox may have
 * dropped the connection's state since the last statement. Reads and BEGIN
 * request a status row anyway, and with a request id the answer to BEGIN shows
 * the same.
 */
static bool plan_needs_status_first(const struct runner *r)
{
	const struct msg_run *run = r->run;

	if (run->kind == RUN_WRITE)
		return !(run->flags & RUN_RECORD_REQUEST_ID);
	return run->kind == RUN_IN_TXN || run->kind == RUN_DESCRIBE;
}

static bool plan_first(struct runner *r)
{
	if (r->batch)
		return (!r->pipelined || PQexitPipelineMode(r->pg)) &&
		       plan_batch(r);
	if (!r->pipelined && !plan_pipeline(r))
		return false;
	if (plan_needs_status_first(r) && !plan_status(r))
		return false;
	switch ((enum run_kind)r->run->kind) {
	case RUN_READ:
		return plan_read(r);
	case RUN_WRITE:
		return r->run->flags & RUN_RECORD_REQUEST_ID
			       ? plan_write_once(r)
			       : plan_write(r);
	case RUN_IN_TXN:
		return plan_txn(r);
	case RUN_DESCRIBE:
		return plan_describe(r);
	case RUN_BEGIN:
		return plan_begin(r);
	}
	return false;
}

bool plan_start(struct runner *r)
{
	bool batch = plan_is_batch(r->run);

	r->phase = PHASE_LAST;
	r->nsteps = 0;
	r->next_step = 0;
	r->commits = r->run->kind == RUN_WRITE ||
		     (r->run->kind == RUN_IN_TXN &&
		      (batch || plan_is_commit(r->run)));
	r->batch = batch && r->run->kind != RUN_DESCRIBE &&
		   r->run->kind != RUN_BEGIN;
	return plan_first(r);
}

static bool plan_replay(struct runner *r)
{
	const char *values[] = {r->run->customer, r->run->request_id};

	r->phase = PHASE_REPLAY;
	return plan_sql(r, STEP_ROLLBACK, "ROLLBACK") && plan_sync(r) &&
	       plan_sql_args(r, STEP_REPLAY, OUTCOME_READ_SQL, 2, values) &&
	       plan_sync(r) && plan_confirm(r);
}

static bool plan_create(struct runner *r)
{
	r->phase = PHASE_CREATE;
	r->created_request_table = true;
	return plan_sql(r, STEP_ROLLBACK, "ROLLBACK") && plan_sync(r) &&
	       plan_sql(r, STEP_CREATE, OUTCOME_CREATE_TABLE_SQL) &&
	       plan_sync(r);
}

static bool plan_outcome(struct runner *r)
{
	struct buf text = BUF_INIT;
	const char *values[] = {r->run->customer, r->run->request_id, NULL};
	bool ok;

	r->phase = PHASE_LAST;
	outcome_encode(&text, r->command_tag, buf_data(&r->out),
		       buf_len(&r->out));
	values[2] = buf_str(&text);
	ok = plan_sql_args(r, STEP_OUTCOME, OUTCOME_UPDATE_SQL, 3, values) &&
	     plan_sql(r, STEP_COMMIT, "COMMIT") && plan_sync(r) &&
	     plan_confirm(r);
	buf_free(&text);
	return ok;
}

static bool plan_rollback(struct runner *r)
{
	r->phase = PHASE_LAST;
	return plan_sql(r, STEP_ROLLBACK, "ROLLBACK") && plan_sync(r);
}

static bool plan_after_claim(struct runner *r, bool *ok)
{
	if (r->request_id_used)
		*ok = plan_replay(r);
	else if (r->request_table_missing && !r->created_request_table)
		*ok = plan_create(r);
	else if (r->failed_result)
		*ok = plan_rollback(r);
	else if (r->run->kind == RUN_WRITE)
		*ok = plan_outcome(r);
	else
		return false;
	return true;
}

bool plan_next(struct runner *r, bool *ok)
{
	enum run_phase phase = r->phase;

	r->nsteps = 0;
	r->next_step = 0;
	*ok = true;
	if (phase == PHASE_CLAIM && !r->pipelined && !plan_pipeline(r)) {
		*ok = false;
		return true;
	}
	switch (phase) {
	case PHASE_LAST:
	case PHASE_REPLAY:
		return false;
	case PHASE_CLAIM:
		return plan_after_claim(r, ok);
	case PHASE_CREATE:
		r->request_table_missing = false;
		buf_free(&r->out);
		r->described = false;
		*ok = plan_first(r);
		return true;
	case PHASE_BATCH:
		r->phase = PHASE_LAST;
		if (r->failed_result ||
		    (r->run->kind == RUN_IN_TXN &&
		     PQtransactionStatus(r->pg) != PQTRANS_IDLE))
			return false;
		*ok = plan_pipeline(r) && plan_confirm(r);
		return true;
	}
	return false;
}
