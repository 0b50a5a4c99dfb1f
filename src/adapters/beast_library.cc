// Compiles the non-template part of Boost.Beast once for all programs.
#include <boost/beast/src.hpp>
