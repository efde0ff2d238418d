// The main function supplied by Catch2, compiled only once.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
