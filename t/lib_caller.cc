#include "lib_cluster.h"

#include <cstdlib>
#include <poll.h>

namespace cluster
{

namespace
{

bool wait_socket(PGconn *conn, short events, int64_t end)
{
	struct pollfd p = {PQsocket(conn), events, 0};
	int64_t left = end - now_ms();

	return left > 0 && poll(&p, 1, (int)left) == 1;
}

bool finish_connect(PGconn *conn, int64_t end)
{
	PostgresPollingStatusType st = PGRES_POLLING_WRITING;

	while (st != PGRES_POLLING_OK) {
		short events = st == PGRES_POLLING_READING ? POLLIN : POLLOUT;

		if (st == PGRES_POLLING_FAILED ||
		    !wait_socket(conn, events, end))
			return false;
		st = PQconnectPoll(conn);
	}
	return true;
}

void copy_rows(Result &out, PGresult *r)
{
	for (int j = 0; j < PQnfields(r); j++)
		out.names.push_back(PQfname(r, j));
	for (int i = 0; i < PQntuples(r); i++) {
		std::vector<std::string> row;

		for (int j = 0; j < PQnfields(r); j++)
			row.push_back(PQgetvalue(r, i, j));
		out.rows.push_back(row);
	}
}

void copy_result(Result &out, PGresult *r)
{
	ExecStatusType st = PQresultStatus(r);
	const char *state = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	const char *detail = PQresultErrorField(r, PG_DIAG_MESSAGE_DETAIL);

	out.ok = st == PGRES_TUPLES_OK || st == PGRES_COMMAND_OK ||
		 st == PGRES_EMPTY_QUERY;
	out.statement_tag = PQcmdStatus(r);
	out.names.clear();
	out.rows.clear();
	if (!out.ok) {
		out.sqlstate = state ? state : "08006";
		out.connection_failed = !state;
		out.message = PQresultErrorMessage(r);
		out.detail = detail ? detail : "";
	}
	copy_rows(out, r);
}

} // namespace

std::string Result::value(size_t col) const
{
	return rows.empty() || col >= rows[0].size() ? "" : rows[0][col];
}

std::string Result::value(const std::string &name) const
{
	for (size_t i = 0; i < names.size(); i++)
		if (names[i] == name)
			return value(i);
	return "";
}

int64_t Result::number(const std::string &name) const
{
	std::string v = value(name);

	return v.empty() ? INT64_MIN : strtoll(v.c_str(), nullptr, 10);
}

Caller::~Caller()
{
	close();
}

Caller::Caller(Caller &&other) noexcept
    : conn_(other.conn_), error_(std::move(other.error_))
{
	other.conn_ = nullptr;
}

Caller &Caller::operator=(Caller &&other) noexcept
{
	std::swap(conn_, other.conn_);
	std::swap(error_, other.error_);
	return *this;
}

void Caller::close()
{
	PQfinish(conn_);
	conn_ = nullptr;
}

bool Caller::connect(const std::string &addr, const std::string &user,
		     const std::string &password, const std::string &database,
		     const std::string &options, int ms)
{
	size_t colon = addr.rfind(':');
	std::string ip = addr.substr(0, colon);
	std::string port = addr.substr(colon + 1);
	const char *keys[] = {"hostaddr", "port",	"user",
			      "password", "dbname",	"options",
			      "sslmode",  "gssencmode", nullptr};
	const char *values[] = {
		ip.c_str(),	  port.c_str(),	    user.c_str(),
		password.c_str(), database.c_str(), options.c_str(),
		"disable",	  "disable",	    nullptr};

	close();
	conn_ = PQconnectStartParams(keys, values, 0);
	if (finish_connect(conn_, now_ms() + ms))
		return true;
	error_ = PQerrorMessage(conn_);
	if (error_.empty())
		error_ = "timeout";
	close();
	return false;
}

bool Caller::connected() const
{
	return conn_ && PQstatus(conn_) == CONNECTION_OK;
}

std::string Caller::parameter(const std::string &name) const
{
	const char *v =
		conn_ ? PQparameterStatus(conn_, name.c_str()) : nullptr;

	return v ? v : "";
}

Result Caller::read_results(bool sent, int ms)
{
	int64_t start = now_ms();
	Result out;
	PGresult *r;

	while (sent) {
		if (PQisBusy(conn_)) {
			if (!wait_socket(conn_, POLLIN, start + ms)) {
				out = Result();
				out.sqlstate = "TIMEOUT";
				out.message = "no answer in " +
					      std::to_string(ms) + " ms";
				out.connection_failed = true;
				close();
				break;
			}
			PQconsumeInput(conn_);
			continue;
		}
		r = PQgetResult(conn_);
		if (!r)
			break;
		/* Once a statement of a batch has failed, its error is kept and
		 * later results are ignored. */
		if (out.sqlstate.empty())
			copy_result(out, r);
		PQclear(r);
	}
	if (!sent) {
		out.sqlstate = "08006";
		out.message = conn_ ? PQerrorMessage(conn_) : "not connected";
		out.connection_failed = true;
	}
	out.ms = now_ms() - start;
	return out;
}

Result Caller::exec(const std::string &sql, int ms)
{
	return read_results(conn_ && PQsendQuery(conn_, sql.c_str()), ms);
}

Result Caller::exec(const std::string &sql,
		    const std::vector<std::string> &params, int ms)
{
	std::vector<const char *> values;

	for (const std::string &p : params)
		values.push_back(p.c_str());
	return read_results(conn_ && PQsendQueryParams(conn_, sql.c_str(),
						       (int)values.size(),
						       nullptr, values.data(),
						       nullptr, nullptr, 0),
			    ms);
}

bool Caller::cancel()
{
	PGcancel *c = conn_ ? PQgetCancel(conn_) : nullptr;
	char text[256];
	bool ok = c && PQcancel(c, text, sizeof(text));

	PQfreeCancel(c);
	return ok;
}

} // namespace cluster
