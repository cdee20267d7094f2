// Boost.JSON is compiled here once, because Debian's header package brings no
// library for it.
#include <boost/json/src.hpp>
