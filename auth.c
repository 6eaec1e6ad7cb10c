#include "auth.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Cache entry of one customer. */
struct auth_entry {
	char customer[ID_LEN];
	char password_hash[LST_HASH_LEN]; /* from the lists, at that login */
	unsigned char mac[crypto_generichash_BYTES]; /* of the password */
	UT_hash_handle hh;
};

struct auth {
	unsigned char key[crypto_generichash_KEYBYTES];
	struct auth_entry *entries;
};

struct auth *auth_new(void)
{
	struct auth *a = calloc(1, sizeof(*a));

	if (!a)
		abort();
	randombytes_buf(a->key, sizeof(a->key));
	return a;
}

void auth_free(struct auth *a)
{
	struct auth_entry *entry;
	struct auth_entry *next;

	if (!a)
		return;
	HASH_ITER (hh, a->entries, entry, next) {
		HASH_DEL(a->entries, entry);
		free(entry);
	}
	sodium_memzero(a->key, sizeof(a->key));
	free(a);
}

static void auth_mac(const struct auth *a, const char *text, unsigned char *out)
{
	crypto_generichash(out, crypto_generichash_BYTES,
			   (const unsigned char *)text, strlen(text), a->key,
			   sizeof(a->key));
}

static struct auth_entry *auth_find(struct auth *a, const char *customer)
{
	struct auth_entry *entry;

	HASH_FIND_STR(a->entries, customer, entry);
	return entry;
}

static void auth_cache_password(struct auth *a, const struct customer *c,
				const unsigned char *mac)
{
	struct auth_entry *entry = auth_find(a, c->name);

	if (!entry) {
		entry = calloc(1, sizeof(*entry));
		if (!entry)
			abort();
		snprintf(entry->customer, sizeof(entry->customer), "%s",
			 c->name);
		HASH_ADD_STR(a->entries, customer, entry);
	}
	memcpy(entry->password_hash, c->password_hash, LST_HASH_LEN);
	memcpy(entry->mac, mac, sizeof(entry->mac));
}

bool auth_check_password(struct auth *a, const struct customer *c,
			 const char *password)
{
	const struct auth_entry *entry = auth_find(a, c->name);
	unsigned char mac[crypto_generichash_BYTES];

	auth_mac(a, password, mac);
	if (entry && !strcmp(entry->password_hash, c->password_hash) &&
	    !sodium_memcmp(entry->mac, mac, sizeof(mac)))
		return true;
	if (!lst_check_password(c, password))
		return false;
	auth_cache_password(a, c, mac);
	return true;
}

bool auth_passwords_equal(const char *expected, const char *given)
{
	unsigned char x[crypto_generichash_BYTES];
	unsigned char y[crypto_generichash_BYTES];

	if (!*expected)
		return false;
	crypto_generichash(x, sizeof(x), (const unsigned char *)expected,
			   strlen(expected), NULL, 0);
	crypto_generichash(y, sizeof(y), (const unsigned char *)given,
			   strlen(given), NULL, 0);
	return !sodium_memcmp(x, y, sizeof(x));
}
