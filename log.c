#include "log.h"
#include "stall.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static const char *log_program = "marjoramlatch";
static enum log_level log_max = LOG_INFO;

/* Lines dropped since the last one that was written, because the reader of
 * standard output was too slow or there were more than LOG_MAX_LINES_PER_S. */
static unsigned long log_dropped;
static time_t log_rate_second; /* second that log_rate_lines counts */
static unsigned int log_rate_lines; /* info and debug lines */

void log_init(const char *program, enum log_level max)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	log_program = program;
	log_max = max;
	/* A reader of the log that hangs must not block the process. */
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

int log_parse_level(const char *text)
{
	static const struct {
		const char *name;
		enum log_level level;
	} names[] = {{"error", LOG_ERROR},
		     {"warning", LOG_WARN},
		     {"info", LOG_INFO},
		     {"debug", LOG_DEBUG}};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcmp(names[i].name, text))
			return names[i].level;
	return -1;
}

/* Applies LOG_MAX_LINES_PER_S; warnings and errors are always written. */
static bool log_within_rate(enum log_level level, time_t second)
{
	if (second != log_rate_second) {
		log_rate_second = second;
		log_rate_lines = 0;
	}
	return level <= LOG_WARN || ++log_rate_lines <= LOG_MAX_LINES_PER_S;
}

void log_line(enum log_level level, const char *module, const char *fmt, ...)
{
	char line[1024];
	char stamp[32];
	struct timespec ts;
	struct tm tm;
	int64_t began;
	va_list ap;
	int n;

	if (level > log_max)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	if (!log_within_rate(level, ts.tv_sec)) {
		log_dropped++;
		return;
	}
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, sizeof(line), "<%d>%s.%03ldZ %s[%d] %s: ", level,
		     stamp, ts.tv_nsec / 1000000, log_program, getpid(),
		     module);
	if (log_dropped)
		n += snprintf(line + n, sizeof(line) - (size_t)n,
			      "dropped=%lu ", log_dropped);
	va_start(ap, fmt);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
	va_end(ap);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n] = '\n';
	/* One write per line, so that lines of several processes that share
	 * the output do not interleave. */
	began = clk_now_us();
	if (write(STDOUT_FILENO, line, (size_t)n + 1) < 0)
		log_dropped++;
	else
		log_dropped = 0;
	stl_record("log", began);
}
