#include "status.h"

#include <stdlib.h>
#include <string.h>

enum status_column {
	COL_INCARNATION,
	COL_ROLE,
	COL_FENCE_TERM,
	COL_LOG_TERM,
	COL_HELD,
	COL_APPLIED,
	COL_AGE_MS,
	COL_MAJORITY_AGE_MS,
	COL_SLOTS,
	COL_CONNECTIONS,
	COL_COUNT
};

static int64_t status_number(const PGresult *res, int col)
{
	return strtoll(PQgetvalue(res, 0, col), NULL, 10);
}

bool status_parse(struct backend_status *st, const PGresult *res)
{
	if (PQntuples(res) != 1 || PQnfields(res) < COL_COUNT)
		return false;
	*st = (struct backend_status){
		.incarnation = status_number(res, COL_INCARNATION),
		.primary = !strcmp(PQgetvalue(res, 0, COL_ROLE), "primary"),
		.fence_term = status_number(res, COL_FENCE_TERM),
		.log_term = status_number(res, COL_LOG_TERM),
		.received_pos = status_number(res, COL_HELD),
		.applied_pos = status_number(res, COL_APPLIED),
		.data_age_ms = status_number(res, COL_AGE_MS),
		.majority_age_ms = status_number(res, COL_MAJORITY_AGE_MS),
		.slots = status_number(res, COL_SLOTS),
		.connections = status_number(res, COL_CONNECTIONS),
	};
	return true;
}
