/** \file
 * Functions for HTTP/1.1 headers that servers and clients share.
 */
#pragma once

#include "connection/HeaderFields.h"
#include "message/Messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge {

/// The first value of a header.
std::optional<std::string_view> headerValue(const HeaderList&, std::string_view name);
inline std::optional<std::string_view> headerValue(const HeaderFields& fields, std::string_view name) { return fields.value(name); }

/// A header's value without the blanks around it.
std::string_view trimmed(std::string_view);

/// Removes the headers that concern one connection only: the fixed ones and those that `Connection` names.
void removeConnectionHeaders(HeaderList&);
HeaderFields withoutConnectionHeaders(const HeaderFields&);

/// Writes `name: value` lines.
void appendHeaders(std::string& text, const HeaderList&);

/// The standard reason phrase of a status.
std::string_view reasonOf(int status);

/// Sets after how long a connection fails if the peer acknowledges neither bytes nor keep-alive probes. In a network partition a connection
/// is never reset, so its user would otherwise wait forever.
void failWhenSilent(int socket, int milliseconds);

} // namespace wrenhinge
