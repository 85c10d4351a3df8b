#include "base/BufferedAppender.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

namespace skylark {
namespace {

    using namespace std::chrono_literals;

    void appendLine(BufferedAppender& appender, const std::string& text)
    {
        log4cxx::helpers::Pool pool;
        const auto event = std::make_shared<log4cxx::spi::LoggingEvent>(
            "test", log4cxx::Level::getInfo(), text, log4cxx::spi::LocationInfo::getLocationUnavailable());
        appender.append(event, pool);
    }

    std::string readAll(int descriptor)
    {
        std::string text;
        char buffer[4096];
        ssize_t count = 0;
        while ((count = read(descriptor, buffer, sizeof(buffer))) > 0)
            text.append(buffer, static_cast<size_t>(count));
        return text;
    }

    TEST(BufferedAppenderTest, CloseWritesAllBufferedLines)
    {
        int pipeEnds[2];
        ASSERT_EQ(pipe(pipeEnds), 0);
        {
            BufferedAppender appender(
                std::make_shared<log4cxx::PatternLayout>("%m%n"), { .descriptor = pipeEnds[1], .interval = 1h });
            appendLine(appender, "one");
            appendLine(appender, "two");
        }
        close(pipeEnds[1]);
        EXPECT_EQ(readAll(pipeEnds[0]), "one\ntwo\n");
        close(pipeEnds[0]);
    }

    // Guards against a log that blocks the process if the reader of its output stops reading.
    TEST(BufferedAppenderTest, FullBufferDropsLinesAndReportsTheirNumber)
    {
        int pipeEnds[2];
        ASSERT_EQ(pipe(pipeEnds), 0);
        {
            BufferedAppender appender(std::make_shared<log4cxx::PatternLayout>("%m%n"),
                { .descriptor = pipeEnds[1], .maxBytes = 100, .interval = 1h });
            for (int i = 0; i < 30; ++i)
                appendLine(appender, "a line of 20 letters");
        }
        close(pipeEnds[1]);
        const std::string text = readAll(pipeEnds[0]);
        // Four lines of 21 bytes fit into the buffer. The fifth line is the event that reports the other 26.
        EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 5);
        EXPECT_NE(text.find("\"log-lines-dropped\",\"count\":\"26\""), std::string::npos) << text;
        close(pipeEnds[0]);
    }

} // namespace
} // namespace skylark
