#include "publishing/publishing.hpp"

#include "protocol/protocol.hpp"

#include <xxhash.h>

#include <cstdio>

namespace cicada
{

char const* to_string(publish_outcome outcome)
{
    switch (outcome)
    {
    case publish_outcome::published:
        return "published";
    case publish_outcome::repeated:
        return "repeated";
    case publish_outcome::refused:
        return "refused";
    case publish_outcome::conflict:
        return "conflict";
    case publish_outcome::failed:
        return "failed";
    case publish_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

std::string publication_id(release_note const& note, std::string const& text)
{
    if (!note.header.id.empty())
    {
        return note.header.id;
    }
    XXH64_hash_t const hash = XXH64(text.data(), text.size(), 0);
    return "text-" + std::to_string(hash);
}

std::string note_id_key(std::string const& id)
{
    return "cicada/note-ids/" + id;
}

checked<txn> make_publication(config_snapshot const& snapshot,
                              publish_request const& request)
{
    checked<release_note> const note = parse_note(request.text);
    if (!note.has_value())
    {
        return note.assume_error();
    }
    checked<cell_config> const after =
        apply_note(snapshot.config, note.assume_value());
    if (!after.has_value())
    {
        return after.assume_error();
    }
    note_header const& header = note.assume_value().header;
    std::uint64_t const number = after.assume_value().note_number;
    std::string const id = publication_id(note.assume_value(), request.text);
    published_note const kept{number,
                              id,
                              header.title,
                              header.author,
                              header.reason,
                              format_utc(request.at),
                              request.text};
    txn write;
    write.compares = {{config_key, snapshot.mod_revision},
                      {note_id_key(id), 0},
                      {note_key(number), 0}};
    write.puts = {{config_key, encode_config(after.assume_value()), {}},
                  {note_id_key(id), std::to_string(number), {}},
                  {note_key(number), encode_published(kept), {}}};
    write.otherwise = {{note_id_key(id)}, {config_key}};
    return write;
}

} // namespace cicada
