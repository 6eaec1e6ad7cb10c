#ifndef ERROR_H
#define ERROR_H

/*
 * Error reporting.
 *
 * A function that can fail takes a struct err pointer as its last argument
 * and returns the result code; one that returns a pointer returns NULL on
 * failure. The struct receives the same code and a message for people. A
 * caller that needs only the code may pass NULL.
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

/* Sets the text to what, followed by the description of errno. */
enum res err_errno(struct err *e, enum res code, const char *what);

#endif
