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

/* An address with a port on which nothing listened just now. */
inline std::string free_addr()
{
	struct sockaddr_in a = {};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, (struct sockaddr *)&a, sizeof(a));
	getsockname(fd, (struct sockaddr *)&a, &len);
	close(fd);
	return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
}

/* Runs the loop until done() holds, for about 3 s at most. */
inline bool run_until(struct ev_loop *loop, const std::function<bool()> &done)
{
	for (int i = 0; i < 3000 && !done(); i++) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(1000);
	}
	return done();
}

} // namespace loopback

#endif
