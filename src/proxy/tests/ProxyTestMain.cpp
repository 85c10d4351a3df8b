// Runs the tests of src/proxy. Like skylark-node, the program ignores SIGPIPE: the nodes run in this process, and a
// write to a connection that its peer has closed must fail with an error instead of ending the process.
#include <csignal>
#include <gtest/gtest.h>

int main(int argumentCount, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    testing::InitGoogleTest(&argumentCount, arguments);
    return RUN_ALL_TESTS();
}
