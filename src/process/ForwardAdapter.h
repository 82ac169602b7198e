/** \file
 * What ForwardRole needs from the adapter to a platform: how its callers and replicas word requests and answers.
 */
#pragma once

#include "connection/HttpServer.h"
#include "connection/UpstreamPool.h"
#include "request/forward/ForwardEffects.h"
#include "request/forward/ForwardEvents.h"
#include "version/RoutingDocument.h"

#include <concepts>
#include <optional>
#include <string>

namespace wrenhinge {

/// A caller's request, parsed.
struct ParsedCallerRequest {
    std::string id; ///< The request id that the caller assigned; the replica's answer repeats it.
    forward::RequestMetadata metadata;
};

/// Parses and formats the requests and answers of a platform's callers and replicas.
template <typename D>
concept ForwardAdapter
    = requires(const HttpRequest& request, const UpstreamHead& head, const forward::Send& send, const Error& error, const std::string& text)
{
    {
        D::readCaller(request)
        } -> std::same_as<ParsedCallerRequest>;
    // The head; the body is the caller's.
    {
        D::upstreamRequest(request, send)
        } -> std::same_as<UpstreamRequest>;
    {
        D::readAnswer(head, text)
        } -> std::same_as<forward::AnswerMetadata>;
    {
        D::whose(head, text)
        } -> std::same_as<AnswerOwner>;
    {
        D::readPrefill(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        D::readPlace(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        D::takePlace(forward::ReserveAtReplica {})
        } -> std::same_as<UpstreamRequest>;
    {
        D::dropPlace(forward::Reservation {})
        } -> std::same_as<UpstreamRequest>;
    {
        D::freePrompt(*send.source)
        } -> std::same_as<UpstreamRequest>;
    {
        D::errorHeaders(error, text)
        } -> std::same_as<HeaderList>;
    {
        D::errorBody(error)
        } -> std::same_as<std::string>;
    {
        typename D::DocumentReader().read(text)
        } -> std::same_as<Result<RoutingDocument>>;
};

} // namespace wrenhinge
