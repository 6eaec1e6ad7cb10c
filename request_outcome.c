#include "request_outcome.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

void outcome_encode(struct buf *out, const char *tag, const char *answer,
		    size_t len)
{
	size_t max;

	buf_addf(out, "%.*s\n", OUTCOME_TAG_LEN - 1, tag);
	if (len > OUTCOME_MAX_ANSWER) {
		buf_addstr(out, "-");
		return;
	}
	max = sodium_base64_ENCODED_LEN(len, sodium_base64_VARIANT_ORIGINAL);
	sodium_bin2base64(buf_reserve(out, max), max,
			  (const unsigned char *)answer, len,
			  sodium_base64_VARIANT_ORIGINAL);
	buf_commit(out, max - 1);
}

bool outcome_decode(const char *text, char *tag, struct buf *out)
{
	size_t tag_len = strcspn(text, "\n");
	const char *encoded = text + tag_len;
	size_t max = strlen(encoded);
	size_t len;

	snprintf(tag, OUTCOME_TAG_LEN, "%.*s", (int)tag_len, text);
	if (*encoded != '\n')
		return false;
	encoded++;
	if (sodium_base642bin((unsigned char *)buf_reserve(out, max), max,
			      encoded, max - 1, NULL, &len, NULL,
			      sodium_base64_VARIANT_ORIGINAL))
		return false;
	buf_commit(out, len);
	return true;
}
