// Boost.JSON is compiled here, once for the whole program, because the package
// of its shared library is not among those the build installs.
#include <boost/json/src.hpp>
