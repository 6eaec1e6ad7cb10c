#ifndef LIB_LOOPBACK_H
#define LIB_LOOPBACK_H

/* Loopback addresses and a bounded event loop for unit tests that play the
 * peers of the code under test. */

#include <arpa/inet.h>
#include <ev.h>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace loopback
{

/* An address on which nothing listens. Its port is below those that connections
 * get, and other processes try other ports first. */
inline std::string free_addr()
{
	constexpr int FIRST = 12000;
	constexpr int PORTS = 8000;
	static unsigned int tried = (unsigned int)getpid() * 61;
	struct sockaddr_in a = {};

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (bool bound = false; !bound;) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		a.sin_port = htons(FIRST + ++tried % PORTS);
		bound = !bind(fd, (struct sockaddr *)&a, sizeof(a));
		close(fd);
	}
	return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
}

/* Runs the loop until done() holds, for about 3 s at most. */
inline bool run_until(struct ev_loop *loop, const std::function<bool()> &done)
{
	for (int i = 0; i < 3000; i++) {
		if (done())
			return true;
		ev_run(loop, EVRUN_NOWAIT);
		usleep(1000);
	}
	return false;
}

} // namespace loopback

#endif
