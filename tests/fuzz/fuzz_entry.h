#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// Aborts when the input violates a property.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

// Inputs from which the driver derives others.
std::vector<std::string> FuzzSeeds();
