#ifndef PERSIMMONPOINT_PRECOMPILED_HPP_INCLUDED
#define PERSIMMONPOINT_PRECOMPILED_HPP_INCLUDED

/// Headers of libraries that most sources include. Only for PERSIMMONPOINT_PRECOMPILE; no
/// source includes it by name.

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/outcome.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#endif // PERSIMMONPOINT_PRECOMPILED_HPP_INCLUDED
