#include "lib_cluster.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace cluster
{

namespace
{

/* Port blocks lie below the range from which the kernel takes the ports of
 * outgoing connections. */
constexpr int FIRST_PORT = 20000;
constexpr int BLOCK_PORTS = 100;
constexpr int BLOCKS = 120;
constexpr int STOP_MS = 10000;

struct sockaddr_in loopback(int port)
{
	struct sockaddr_in sa = {};

	sa.sin_family = AF_INET;
	sa.sin_port = htons((uint16_t)port);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return sa;
}

/*
 * Reserves a block of ports and returns its first port. Test programs that run
 * at the same time use different blocks. A lock on a file reserves a block
 * until the program ends.
 */
int reserve_port_block()
{
	static int next = (int)getpid();

	mkdir("/tmp/marjoramlatch-ports", 0777);
	for (int i = 0; i < BLOCKS; i++) {
		int block = next++ % BLOCKS;
		std::string path =
			"/tmp/marjoramlatch-ports/" + std::to_string(block);
		int fd = open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);

		if (fd >= 0 && !flock(fd, LOCK_EX | LOCK_NB))
			return FIRST_PORT + block * BLOCK_PORTS;
		if (fd >= 0)
			close(fd);
	}
	throw std::runtime_error("no free block of ports");
}

bool port_free(int port)
{
	struct sockaddr_in sa = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;
	bool ok;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ok = !bind(fd, (struct sockaddr *)&sa, sizeof(sa));
	close(fd);
	return ok;
}

} // namespace

ShellResult shell(const std::string &command)
{
	FILE *f = popen(command.c_str(), "r");
	ShellResult r = {-1, ""};
	char buf[4096];
	size_t n;

	while ((n = fread(buf, 1, sizeof(buf), f)))
		r.out.append(buf, n);
	int status = pclose(f);
	r.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	return r;
}

std::string program(const std::string &name)
{
	const char *build = getenv("BUILD");

	return std::string(build ? build : "build/release") + "/" + name;
}

int64_t now_ms()
{
	using namespace std::chrono;

	return duration_cast<milliseconds>(
		       steady_clock::now().time_since_epoch())
		.count();
}

bool wait_until(int ms, const std::function<bool()> &f, int step_ms)
{
	int64_t end = now_ms() + ms;

	while (!f()) {
		if (now_ms() >= end)
			return false;
		std::this_thread::sleep_for(std::chrono::milliseconds(step_ms));
	}
	return true;
}

std::string free_addr()
{
	static std::mutex lock;
	static int port = 0;
	static int end = 0;
	std::lock_guard<std::mutex> guard(lock);

	do {
		if (port == end) {
			port = reserve_port_block();
			end = port + BLOCK_PORTS;
		}
		port++;
	} while (!port_free(port - 1));
	return "127.0.0.1:" + std::to_string(port - 1);
}

TempDir::TempDir()
{
	const char *base = getenv("TMPDIR");
	std::string path =
		std::string(base ? base : "/tmp") + "/marjoramlatch-XXXXXX";

	if (!mkdtemp(path.data()))
		throw std::runtime_error("mkdtemp: " + path);
	path_ = path;
}

TempDir::~TempDir()
{
	std::error_code ignored;

	if (!getenv("KEEP"))
		std::filesystem::remove_all(path_, ignored);
	else
		fprintf(stderr, "kept %s\n", path_.c_str());
}

std::string TempDir::write(const std::string &name, const std::string &text)
{
	std::string path = path_ + "/" + name;

	std::ofstream(path) << text;
	chmod(path.c_str(), 0600);
	return path;
}

Process::Process(std::string name, std::vector<std::string> argv,
		 std::string log)
    : name_(std::move(name)), argv_(std::move(argv)), log_(std::move(log))
{
}

/* An error that a sanitizer reported in the process fails the test. */
Process::~Process()
{
	std::string text;

	text = unexpected_end();
	if (!text.empty())
		ADD_FAILURE() << name_ << " ended by itself: " << text;
	kill();
	text = log();
	for (const char *what : {"ERROR: AddressSanitizer",
				 "runtime error:", "ERROR: LeakSanitizer"})
		if (text.find(what) != std::string::npos)
			ADD_FAILURE() << name_ << ": " << text;
}

void Process::start(const std::function<void(pid_t)> &on_pid)
{
	std::vector<char *> args;
	pid_t parent = getpid();
	int start_pipe[2];

	if (running())
		throw std::logic_error(name_ + " runs already");
	for (std::string &a : argv_)
		args.push_back(a.data());
	args.push_back(nullptr);
	if (pipe2(start_pipe, O_CLOEXEC))
		throw std::runtime_error("pipe2");
	end_requested_ = false;
	pid_ = fork();
	if (pid_ == 0) {
		int fd =
			open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
		char start_byte;

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDERR_FILENO);
		dup2(fd, STDOUT_FILENO);
		if (getppid() != parent ||
		    read(start_pipe[0], &start_byte, 1) != 1)
			_exit(126);
		execv(args[0], args.data());
		_exit(127);
	}
	if (on_pid)
		on_pid(pid_);
	if (write(start_pipe[1], "g", 1) != 1)
		throw std::runtime_error("starting " + name_);
	close(start_pipe[0]);
	close(start_pipe[1]);
}

bool Process::reap()
{
	int status;

	if (pid_ < 0)
		return true;
	if (waitpid(pid_, &status, WNOHANG) != pid_)
		return false;
	status_ = WIFEXITED(status) ? WEXITSTATUS(status)
				    : 128 + WTERMSIG(status);
	pid_ = -1;
	return true;
}

std::string Process::unexpected_end()
{
	if (running() || end_requested_)
		return "";
	return status_ < 128 ? "status " + std::to_string(status_)
			     : "signal " + std::to_string(status_ - 128);
}

bool Process::running()
{
	return !reap();
}

int Process::wait(int ms)
{
	return wait_until(ms, [this] { return reap(); }) ? status_ : -1;
}

void Process::kill()
{
	if (!running())
		return;
	end_requested_ = true;
	::kill(pid_, SIGKILL);
	wait(STOP_MS);
}

void Process::send_sigterm()
{
	if (!running())
		return;
	end_requested_ = true;
	::kill(pid_, SIGTERM);
}

void Process::terminate()
{
	if (!running())
		return;
	end_requested_ = true;
	::kill(pid_, SIGTERM);
}

void Process::suspend_process()
{
	if (running())
		::kill(pid_, SIGSTOP);
}

void Process::resume_process()
{
	if (running())
		::kill(pid_, SIGCONT);
}

std::string Process::log() const
{
	std::ifstream f(log_);
	std::stringstream s;

	s << f.rdbuf();
	return s.str();
}

Relay::Relay(const TempDir &dir)
    : control_addr_(free_addr()),
      process_("relay", {program("helper/relay"), "--control", control_addr_},
	       dir.path() + "/relay.log")
{
	int port =
		std::stoi(control_addr_.substr(control_addr_.rfind(':') + 1));
	struct sockaddr_in sa = loopback(port);

	process_.start();
	if (!wait_until(5000, [&] {
		    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		    if (!::connect(fd_, (struct sockaddr *)&sa, sizeof(sa)))
			    return true;
		    close(fd_);
		    return false;
	    }))
		throw std::runtime_error("relay: " + process_.log());
	command("source test " + std::to_string(getpid()));
}

std::string Relay::add(const std::string &name, const std::string &target)
{
	std::string addr = free_addr();

	command("add " + name + " " + addr + " " + target);
	return addr;
}

void Relay::command(const std::string &line)
{
	std::string text = line + "\n";
	std::string answer;
	char c;

	if (::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) !=
	    (ssize_t)text.size())
		throw std::runtime_error("relay is gone");
	while (answer.empty() || answer.back() != '\n') {
		struct pollfd p = {fd_, POLLIN, 0};

		if (poll(&p, 1, 5000) != 1 || recv(fd_, &c, 1, 0) != 1)
			throw std::runtime_error("relay does not answer");
		answer += c;
	}
	if (answer != "ok\n")
		throw std::runtime_error(line + ": " + answer);
}

} // namespace cluster
