#include "error.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum res err_set(struct err *e, enum res code, const char *fmt, ...)
{
	va_list ap;

	if (!e)
		return code;
	e->code = code;
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	return code;
}

enum res err_errno(struct err *e, enum res code, const char *what)
{
	return err_set(e, code, "%s: %s", what, strerror(errno));
}
