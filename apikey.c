#include "apikey.h"

#include <sodium.h>
#include <string.h>

void akey_hash(const unsigned char *secret, const char *key, size_t len,
	       char *out)
{
	unsigned char hash[RT_KEY_HASH_LEN];

	_Static_assert((int)AKEY_SECRET_LEN == (int)crypto_generichash_KEYBYTES,
		       "the secret is not a key of the hash");
	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key, len,
			   secret, AKEY_SECRET_LEN);
	sodium_bin2hex(out, RT_KEY_HASH_HEX, hash, sizeof(hash));
}

static void akey_extend(struct akey_lease *l, clk_ms asked_at)
{
	if (asked_at + l->duration_ms > l->until)
		l->until = asked_at + l->duration_ms;
}

void akey_on_answer(struct akey_lease *l, struct akey_proof proof, int64_t held)
{
	if (proof.version <= held)
		akey_extend(l, proof.asked_at);
	else if (proof.asked_at >= l->pending.asked_at)
		l->pending = proof;
}

void akey_on_config(struct akey_lease *l, int64_t held)
{
	if (!l->pending.version || l->pending.version > held)
		return;
	akey_extend(l, l->pending.asked_at);
	l->pending = (struct akey_proof){0};
}

bool akey_is_valid(const struct akey_lease *l, clk_ms now)
{
	return !l->duration_ms || now < l->until;
}

struct akey_permit akey_check(const struct akey_lease *l,
			      const struct route_table *table,
			      const struct akey_request *q, clk_ms now)
{
	struct akey_permit p = {.res = RES_OK, .tenant = ""};
	const struct rt_tenant *t;

	if (!table || !table->has_tenants) {
		if (q->txn_tenant)
			p.tenant = q->txn_tenant;
		return p;
	}
	t = q->hash[0] ? rt_find_key(table, q->hash) : NULL;
	if ((t || !q->is_public) && !akey_is_valid(l, now)) {
		p.res = RES_KEY_UNCONFIRMED;
		return p;
	}
	if (t)
		p.tenant = t->name;
	if (t && l->duration_ms)
		p.until = l->until;
	if ((!t && !q->is_public) ||
	    (q->txn_tenant && strcmp(q->txn_tenant, p.tenant) != 0))
		p.res = RES_AUTH;
	return p;
}
