#ifndef ERROR_H
#define ERROR_H

/*
 * Error reporting.
 *
 * A function that can fail takes a struct err pointer as its last argument
 * and returns the result code, or NULL for functions that return a pointer.
 * The struct holds the same code and a message for people. Passing NULL is
 * allowed where the caller needs only the code.
 */

#include "result.h"

struct err {
	enum res code;
	char text[320];
};

#define ERR_INIT               \
	{                      \
		.code = RES_OK \
	}

/* Fills in e (if not NULL) and returns code. */
enum res err_set(struct err *e, enum res code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Like err_set() and appends the text of errno. */
enum res err_errno(struct err *e, enum res code, const char *what);

#endif
