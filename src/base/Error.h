// The exception type that all libraries of this project throw.
//
// An Error states what failed, in which step, with which peer or where in a JSON document, and what an operator can do
// about it.
// what() joins these parts in one line and omits an empty peer or advice.
#pragma once

#include <stdexcept>
#include <string>

namespace skylark {

struct ErrorDetails {
    std::string step;
    // What the step dealt with, usually a peer. For an error in a JSON document, the location in it ("/limits") or the
    // id of the server that it describes.
    std::string peer;
    std::string message;
    std::string advice;
};

class Error : public std::runtime_error {
public:
    explicit Error(ErrorDetails details);

    const std::string& step() const { return m_details.step; }
    const std::string& peer() const { return m_details.peer; }
    const std::string& message() const { return m_details.message; }
    const std::string& advice() const { return m_details.advice; }

private:
    ErrorDetails m_details;
};

} // namespace skylark
