#include "cli/CommandLine.h"

#include <iostream>

int main(int count, char** values)
{
    return static_cast<int>(skylark::runCommandLine({ values + 1, values + count }, std::cout, std::cerr));
}
