/** \file
 * Teaches msgpack two types that it doesn't know: durations, and std::variant as `[index, value]`.
 *
 * The index is the position among the alternatives, so new alternatives go to the end.
 */
#pragma once

#include "base/Time.h"

#include <msgpack.hpp>
#include <variant>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {
        template <> struct convert<wrenhinge::Duration> {
            const msgpack::object& operator()(const msgpack::object& o, wrenhinge::Duration& d) const
            {
                d = wrenhinge::Duration(o.as<std::int64_t>());
                return o;
            }
        };
        template <> struct pack<wrenhinge::Duration> {
            template <typename Stream> packer<Stream>& operator()(packer<Stream>& p, const wrenhinge::Duration& d) const
            {
                return p.pack(static_cast<std::int64_t>(d.count()));
            }
        };

        /// Packs a std::variant as `[index, value]`.
        template <typename... Ts> struct pack<std::variant<Ts...>> {
            template <typename Stream> packer<Stream>& operator()(packer<Stream>& p, const std::variant<Ts...>& v) const
            {
                p.pack_array(2);
                p.pack(static_cast<std::uint32_t>(v.index()));
                std::visit([&p](const auto& x) { p.pack(x); }, v);
                return p;
            }
        };

        /// Unpacks `[index, value]`; an unknown index throws type_error, which the decoder turns into "no message".
        template <typename... Ts> struct convert<std::variant<Ts...>> {
            const msgpack::object& operator()(const msgpack::object& o, std::variant<Ts...>& v) const
            {
                if (o.type != type::ARRAY || o.via.array.size != 2)
                    throw type_error();
                auto index = o.via.array.ptr[0].as<std::uint32_t>();
                if (!unpackAt(index, o.via.array.ptr[1], v, std::index_sequence_for<Ts...>()))
                    throw type_error();
                return o;
            }

        private:
            template <std::size_t... Is>
            static bool unpackAt(std::uint32_t index, const msgpack::object& o, std::variant<Ts...>& v, std::index_sequence<Is...>)
            {
                return ((Is == index ? (v.template emplace<Is>(o.as<std::variant_alternative_t<Is, std::variant<Ts...>>>()), true) : false)
                    || ...);
            }
        };
    }
}
}
