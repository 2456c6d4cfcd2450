#pragma once

#include "settings/settings.hpp"

namespace cicada
{

/** What the text says, before the keys are checked against each other. */
struct settings_draft
{
    cicadad_settings settings;
    std::optional<address> operators_advertise;
    std::optional<address> link_advertise;
    std::string operators_token_file; //!< empty: not given
    std::string link_token_file;      //!< empty: not given

    bool operator==(settings_draft const&) const = default;
};

/** One key of a section, with what the reference says of it. */
struct setting_key
{
    std::string section;
    ini_key<settings_draft> key;
    std::string default_value; //!< "required": must be given
    std::string meaning;
};

/** Every key, by section. */
std::vector<setting_key> const& setting_keys();

} // namespace cicada
