#include "cancel.h"

#include "log.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>

static atomic_int cancel_running;

static void *cancel_thread(void *arg)
{
	char error[256];

	if (!PQcancel(arg, error, sizeof(error)))
		log_warn("cancel", "request failed: %s", error);
	PQfreeCancel(arg);
	atomic_fetch_sub(&cancel_running, 1);
	return NULL;
}

static bool cancel_start(PGcancel *cancel)
{
	pthread_attr_t attr;
	pthread_t thread;
	sigset_t all;
	sigset_t old;
	int rc;

	/* Signals are for the thread of the event loop. */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &old);
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	rc = pthread_create(&thread, &attr, cancel_thread, cancel);
	pthread_attr_destroy(&attr);
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	return rc == 0;
}

bool cancel_send(PGconn *pg)
{
	PGcancel *cancel = PQgetCancel(pg);

	if (!cancel)
		return false;
	if (atomic_fetch_add(&cancel_running, 1) < CANCEL_MAX &&
	    cancel_start(cancel))
		return true;
	atomic_fetch_sub(&cancel_running, 1);
	PQfreeCancel(cancel);
	return false;
}
