#ifndef STATUS_H
#define STATUS_H

/* The row that marjoramlatch_status() of a backend server returns. */

#include "clock.h"

#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>

#define STATUS_SQL "SELECT * FROM marjoramlatch_status()"

struct backend_status {
	int64_t incarnation;
	bool primary;
	int64_t fence_term;
	int64_t log_term;
	int64_t held;
	int64_t applied;
	clk_ms age_ms; /* of the applied data; -1 unknown */
	clk_ms majority_age_ms; /* primary: since a majority confirmed; -1 */
	int64_t slots;
	int64_t connections;
};

/* Reads the row of a text-format result; false if it is not one such row. */
bool status_parse(struct backend_status *st, const PGresult *res);

#endif
