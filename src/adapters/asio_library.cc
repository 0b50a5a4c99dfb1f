// Compiles the non-template part of Boost.Asio once for all programs.
#include <boost/asio/impl/src.hpp>
