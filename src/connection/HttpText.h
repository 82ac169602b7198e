/** \file
 * Small pieces of HTTP/1.1 that servers and clients share: writing heads, and telling headers that concern one connection.
 */
#pragma once

#include "message/Messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge {

/// Compares header names, which are not case-sensitive.
bool isSameName(std::string_view, std::string_view);

/// The first value of a header.
std::optional<std::string_view> headerValue(const HeaderList&, std::string_view name);

/// Removes the headers that concern one connection only: the fixed ones and those that `Connection` names.
void removeConnectionHeaders(HeaderList&);

/// Writes `name: value` lines.
void appendHeaders(std::string& text, const HeaderList&);

/// The usual words for a status.
std::string_view reasonOf(int status);

/// Sets how long unacknowledged bytes and silence of the network are borne before a connection fails. A connection that a
/// cut has silenced is never reset by anyone; without this its user would wait for ever.
void failWhenSilent(int socket, int milliseconds);

} // namespace wrenhinge
