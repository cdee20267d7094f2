// Boost.JSON is compiled only here, because the build does not install the
// package of its shared library.
#include <boost/json/src.hpp>
