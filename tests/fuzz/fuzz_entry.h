#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// Aborts when a property under test does not hold for the input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

// Inputs that the driver mutates.
std::vector<std::string> FuzzSeeds();
