/** \file
 * Answers as a replica's bytes: broken ones, which are no answer by the protocol's grammar, and unusual ones, which are.
 */
#pragma once

#include <string>
#include <vector>

namespace wrenhinge::test {

/// The replica closes its connection after the bytes.
struct RawAnswer {
    std::string name;
    std::string bytes; ///< `@` stands for the lines that show whose answer it is.
    int status = 0; ///< Of an unusual answer.
    std::string body {}; ///< Of an unusual answer.
};

/// The bytes with these lines in place of `@`, each line with its end.
inline std::string withIdentity(const RawAnswer& answer, const std::string& lines)
{
    auto bytes = answer.bytes;
    bytes.replace(bytes.find('@'), 1, lines);
    return bytes;
}

inline RawAnswer withStatusLine(const std::string& line) { return { line, line + "\r\n@Content-Length: 2\r\n\r\nok" }; }

inline std::vector<RawAnswer> withStatusLines(const std::vector<std::string>& lines)
{
    std::vector<RawAnswer> answers;
    answers.reserve(lines.size());
    for (const auto& line : lines)
        answers.push_back(withStatusLine(line));
    return answers;
}

/// \param line a part of the head, or several, without the last line end.
inline std::vector<RawAnswer> withLines(const std::vector<std::string>& lines)
{
    std::vector<RawAnswer> answers;
    answers.reserve(lines.size());
    for (const auto& line : lines)
        answers.push_back({ line, "HTTP/1.1 200 OK\r\n@" + line + "\r\nContent-Length: 2\r\n\r\nok" });
    return answers;
}

/// Three digits that are no status.
inline const auto impossibleStatuses = withStatusLines({ "HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK",
    "HTTP/1.0 000 OK", "HTTP/1.1 600 Odd", "HTTP/1.1 777 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 101 Switching Protocols" });
inline const auto brokenStatusLines = withStatusLines(
    { "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", "200 OK", std::string("HTTP/1.1 200 O\0K", 16), "HTTP/1.1 200 O\x01K" });

inline const auto brokenFieldNames = withLines({ "X Y: y", "X\tY: y", "X : y", "X\t: y", std::string("X\0: y", 6), "X\x01Y: y", "X\x7f: y",
    "X\x80: y", ": y", "X", "X(Y): y", "X/Y: y", "X\rY: y" });
inline const auto brokenFieldValues = withLines({ std::string("X: a\0b", 6),
    "X: a\x01"
    "b",
    "X: a\x7f"
    "b",
    "X: a\rb" });
/// A line that begins with a blank, after a field.
inline const auto foldedLines = withLines({ "X: x\r\n Y: y", "X: x\r\n\tY: y", "X: x\r\n ", " Y: y", "\tY: y", " " });
inline const std::vector<RawAnswer> foldedFirstLine { { "first line", "HTTP/1.1 200 OK\r\n X: x\r\n@Content-Length: 2\r\n\r\nok" } };

inline const auto brokenLengths = withLines({ "Content-Length: +2", "Content-Length: -2", "Content-Length: 0x2", "Content-Length: 2a",
    "Content-Length: 2, 3", "Content-Length: 3", "Content-Length:", "Content-Length: 99999999999999999999", "Transfer-Encoding: chunked" });

inline RawAnswer withBody(const std::string& fields, const std::string& body)
{
    return { fields + body, "HTTP/1.1 200 OK\r\n@" + fields + "\r\n\r\n" + body };
}
inline const std::string wholeChunks = "2\r\nok\r\n0\r\n\r\n";
inline const std::vector<RawAnswer> brokenChunks { withBody("Transfer-Encoding: chunked", "x\r\nok\r\n0\r\n\r\n"),
    withBody("Transfer-Encoding: chunked", "-2\r\nok\r\n0\r\n\r\n"), withBody("Transfer-Encoding: chunked", "2\r\nokay\r\n0\r\n\r\n"),
    withBody("Transfer-Encoding: chunked", "11111111111111111\r\nok\r\n0\r\n\r\n"), withBody("Transfer-Encoding: chunked", "2\r\nok\r\n"),
    withBody("Transfer-Encoding: chunked", "2\r\nok\r\n0\r\nX Y: y\r\n\r\n"),
    withBody("Transfer-Encoding: chunked", "2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n"), withBody("Content-Length: 5", "ok") };
/// A body in a coding that nobody has asked for, or whose end is not known.
inline const std::vector<RawAnswer> unknownCodings { withBody("Transfer-Encoding: gzip", "ok"),
    withBody("Transfer-Encoding: identity", "ok"), withBody("Transfer-Encoding: gzip, chunked", wholeChunks),
    withBody("Transfer-Encoding: chunked, gzip", "ok"), withBody("Transfer-Encoding: chunked, chunked", wholeChunks),
    withBody("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", wholeChunks),
    withBody("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip", wholeChunks), withBody("Transfer-Encoding: xchunked", wholeChunks),
    withBody("Transfer-Encoding: chunked;q=1", wholeChunks), withBody("Transfer-Encoding:", "ok"),
    { "chunks by an older version", "HTTP/1.0 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n" + wholeChunks } };

inline const std::vector<RawAnswer> unusualAnswers { { "no reason", "HTTP/1.1 200 \r\n@Content-Length: 2\r\n\r\nok", 200, "ok" },
    { "obsolete text", "HTTP/1.1 200 \xe4\xf6\r\n@X: caf\xe9\r\nContent-Length: 2\r\n\r\nok", 200, "ok" },
    { "a field without a value", "HTTP/1.1 200 OK\r\n@X:\r\nY: \t \r\nContent-Length: 2\r\n\r\nok", 200, "ok" },
    { "all signs that a name may hold", "HTTP/1.1 200 OK\r\n@!#$%&'*+-.^_`|~09aZ: x\r\nContent-Length: 2\r\n\r\nok", 200, "ok" },
    { "blanks around values", "HTTP/1.1 200 OK\r\n@X:y\r\nContent-Length: \t 2 \t\r\n\r\nok", 200, "ok" },
    { "a tab inside a value", "HTTP/1.1 200 OK\r\n@X: a\tb\r\nContent-Length: 2\r\n\r\nok", 200, "ok" },
    { "an unknown status", "HTTP/1.1 299 Odd\r\n@Content-Length: 2\r\n\r\nok", 299, "ok" },
    { "the largest status", "HTTP/1.1 599 Odd\r\n@Content-Length: 2\r\n\r\nok", 599, "ok" },
    { "interim answers",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n@Content-Length: 2\r\n\r\nok", 200, "ok" },
    { "chunks with extensions and a trailer", "HTTP/1.1 200 OK\r\n@Transfer-Encoding: Chunked\r\n\r\n2;a=b\r\nok\r\n000\r\nX: y\r\n\r\n",
        200, "ok" },
    { "no length", "HTTP/1.1 200 OK\r\n@\r\nok", 200, "ok" }, { "an older version", "HTTP/1.0 200 OK\r\n@\r\nok", 200, "ok" },
    { "no body", "HTTP/1.1 204 No Content\r\n@\r\n", 204, "" } };

} // namespace wrenhinge::test
