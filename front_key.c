#include "front_priv.h"

#include "counter.h"
#include "log.h"
#include "settings.h"

#include <sodium.h>
#include <string.h>

void front_take_key(struct front_session *s, char *key, size_t len)
{
	if (!len)
		return;
	akey_hash(s->server->set->key, key, len, s->key_hash);
	sodium_memzero(key, len);
}

static bool front_has_txn(const struct front_session *s)
{
	return s->txn == FRONT_BEGUN || s->txn == FRONT_OPEN;
}

/* An open transaction stays with its route, others use that in force. */
static bool front_is_public(const struct front_session *s)
{
	const struct rt_database *d;

	if (front_has_txn(s))
		return s->route.is_public;
	d = rt_find_database(s->server->routes, s->database);
	return d && d->is_public;
}

static struct akey_permit front_permit(const struct front_session *s,
				       clk_ms now)
{
	struct akey_request q = {.hash = s->key_hash,
				 .is_public = front_is_public(s),
				 .txn_tenant =
					 front_has_txn(s) ? s->tenant : NULL};

	return akey_check(&s->server->key_lease, s->server->routes, &q, now);
}

enum res front_check_key(struct front_session *s, clk_ms now)
{
	struct akey_permit p = front_permit(s, now);

	if (p.res)
		return p.res;
	if (p.tenant != s->tenant)
		snprintf(s->tenant, sizeof(s->tenant), "%s", p.tenant);
	memcpy(s->job.tenant, s->tenant, ID_LEN);
	s->job.authorized_until = p.until;
	return RES_OK;
}

void front_end_withdrawn(struct front_server *f, clk_ms now)
{
	int ended = 0;

	for (struct front_session *s = f->busy_sessions; s; s = s->busy_next) {
		if (s->run.active || !front_has_txn(s) ||
		    front_permit(s, now).res != RES_AUTH)
			continue;
		front_release_kept(s);
		s->txn = FRONT_FAILED;
		s->txn_failure = RES_AUTH;
		ended++;
	}
	if (!ended)
		return;
	cnt_add(CNT_key_withdrawn_txns, (uint64_t)ended);
	log_info("front", "event=key_withdrawn_txns count=%d config=%lld",
		 ended, (long long)f->routes->version);
}

void front_confirm_config(struct front_server *f, int64_t version,
			  clk_ms asked_at)
{
	struct akey_proof proof = {.asked_at = asked_at, .version = version};

	akey_on_answer(&f->key_lease, proof,
		       f->routes ? f->routes->version : 0);
}

clk_ms front_key_lease_left(const struct front_server *f, clk_ms now)
{
	if (!f->routes || !f->routes->has_tenants || !f->key_lease.duration_ms)
		return CLK_NEVER;
	return f->key_lease.until - now;
}
