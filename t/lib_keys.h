#ifndef LIB_KEYS_H
#define LIB_KEYS_H

/* API keys of callers that a soak replaces while it runs, and when the
 * withdrawal of each was acknowledged. Thread-safe. */

#include "lib_platform.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace platform
{

/* The key of tenant "lasting", which is never withdrawn. */
constexpr const char *LASTING_KEY = "test";

class Keys
{
      public:
	explicit Keys(int callers) : current_((size_t)callers)
	{
		for (size_t i = 0; i < current_.size(); i++)
			current_[i] = new_key(i);
	}

	/* The key of a caller that is in force, or will be. */
	std::string key_of(int caller)
	{
		std::lock_guard<std::mutex> g(lock_);

		return current_[(size_t)caller];
	}

	Tenants tenants()
	{
		std::lock_guard<std::mutex> g(lock_);
		Tenants t = {{"lasting", {LASTING_KEY}}};

		for (size_t i = 0; i < current_.size(); i++)
			t.push_back({"t" + std::to_string(i), {current_[i]}});
		return t;
	}

	/* Replaces the key of a caller by a new one. */
	void replace(int caller)
	{
		std::lock_guard<std::mutex> g(lock_);
		std::string &k = current_[(size_t)caller];

		replaced_.push_back(k);
		k = new_key((size_t)caller);
	}

	/* The configuration without the keys replaced so far was acknowledged.
	 */
	void acknowledged()
	{
		std::lock_guard<std::mutex> g(lock_);

		for (const std::string &k : replaced_)
			withdrawn_at_[k] = cluster::now_ms();
		replaced_.clear();
	}

	/* When the withdrawal of a key was acknowledged; -1 if never. */
	int64_t withdrawn_at(const std::string &key)
	{
		std::lock_guard<std::mutex> g(lock_);
		auto at = withdrawn_at_.find(key);

		return at == withdrawn_at_.end() ? -1 : at->second;
	}

	size_t withdrawn()
	{
		std::lock_guard<std::mutex> g(lock_);

		return withdrawn_at_.size();
	}

      private:
	std::string new_key(size_t caller)
	{
		return "key-" + std::to_string(caller) + "-" +
		       std::to_string(last_++);
	}

	std::mutex lock_;
	int last_ = 0;
	std::vector<std::string> current_; /* by caller */
	/* since the last acknowledged configuration */
	std::vector<std::string> replaced_;
	std::map<std::string, int64_t> withdrawn_at_;
};

} // namespace platform

#endif
