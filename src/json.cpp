// Compiles the header-only Boost.JSON; no other translation unit may include this header.
#include <boost/json/src.hpp>
