#pragma once

#include "enum_values.hpp"

#include <nlohmann/json.hpp>

#include <limits>

/**
 * How typed values become JSON values and come back. A struct is described
 * once, by a function `describe(archive, value)` that names its fields; the
 * same description writes and reads. Nothing here throws: each type is looked
 * at before it is read.
 */
namespace cicada
{

using json = nlohmann::json;

/** True for `T` and `T const`, so one description serves both ways. */
template <class V, class T>
concept like = std::same_as<std::remove_const_t<V>, T>;

/** Writes and reads one type; this one is for described structs. */
template <class T>
struct codec;

/** Collects the fields of a described struct in a JSON object. */
class field_writer
{
public:
    /** `into` must outlive the writer. */
    explicit field_writer(json& into) : into(into) {}

    /** Adds one field. */
    template <class T>
    void field(char const* name, T const& value)
    {
        this->into[name] = codec<T>::write(value);
    }

    /** Adds one field if it has a value. */
    template <class T>
    void optional_field(char const* name, std::optional<T> const& value)
    {
        if (value.has_value())
        {
            this->field(name, *value);
        }
    }

private:
    json& into;
};

/** Fills the fields of a described struct from a JSON object. */
class field_reader
{
public:
    /** Both must outlive the reader; `problem` gets the first bad field. */
    field_reader(json const& from, std::string& problem)
        : from(from), problem(problem)
    {
    }

    /** Reads one field that must be there. */
    template <class T>
    void field(char const* name, T& value)
    {
        json::const_iterator const found = this->from.find(name);
        if (found == this->from.end())
        {
            this->fail(name, " is missing");
            return;
        }
        if (!codec<T>::read(*found, value, this->problem))
        {
            this->fail(name, " has a wrong type or value");
        }
    }

    /** Reads one field that may be missing. */
    template <class T>
    void optional_field(char const* name, std::optional<T>& value)
    {
        value.reset();
        if (this->from.contains(name))
        {
            this->field(name, value.emplace());
        }
    }

private:
    void fail(char const* name, char const* what)
    {
        if (this->problem.empty())
        {
            this->problem = std::string(name) + what;
        }
    }

    json const& from;
    std::string& problem;
};

template <class T>
struct codec
{
    static json write(T const& value)
    {
        json out = json::object();
        field_writer writer(out);
        describe(writer, value);
        return out;
    }

    static bool read(json const& in, T& out, std::string& problem)
    {
        if (!in.is_object())
        {
            return false;
        }
        field_reader reader(in, problem);
        describe(reader, out);
        return problem.empty();
    }
};

template <>
struct codec<bool>
{
    static json write(bool value)
    {
        return value;
    }

    static bool read(json const& in, bool& out, std::string&)
    {
        if (!in.is_boolean())
        {
            return false;
        }
        out = in.get<bool>();
        return true;
    }
};

template <std::integral T>
struct codec<T>
{
    static json write(T value)
    {
        return value;
    }

    static bool read(json const& in, T& out, std::string&)
    {
        if (in.is_number_unsigned())
        {
            return narrow(in.get<std::uint64_t>(), out);
        }
        return in.is_number_integer() && narrow(in.get<std::int64_t>(), out);
    }

private:
    template <class Wide>
    static bool narrow(Wide value, T& out)
    {
        if (!std::in_range<T>(value))
        {
            return false;
        }
        out = static_cast<T>(value);
        return true;
    }
};

template <>
struct codec<std::string>
{
    static json write(std::string const& value)
    {
        return value;
    }

    static bool read(json const& in, std::string& out, std::string&)
    {
        if (!in.is_string())
        {
            return false;
        }
        out = in.get_ref<std::string const&>();
        return true;
    }
};

template <>
struct codec<milliseconds>
{
    static json write(milliseconds value)
    {
        return value.count();
    }

    static bool read(json const& in, milliseconds& out, std::string& problem)
    {
        constexpr milliseconds longest = std::chrono::hours(24 * 365 * 100);
        std::int64_t count = 0;
        if (!codec<std::int64_t>::read(in, count, problem))
        {
            return false;
        }
        out = milliseconds(count);
        return -longest <= out && out <= longest;
    }
};

template <class Tag>
struct codec<identifier<Tag>>
{
    static json write(identifier<Tag> const& value)
    {
        return value.value;
    }

    static bool read(json const& in, identifier<Tag>& out, std::string& problem)
    {
        return codec<std::string>::read(in, out.value, problem);
    }
};

template <>
struct codec<epoch>
{
    static json write(epoch value)
    {
        return value.value;
    }

    static bool read(json const& in, epoch& out, std::string& problem)
    {
        return codec<std::uint64_t>::read(in, out.value, problem);
    }
};

template <class T>
requires std::is_enum_v<T>
struct codec<T>
{
    static json write(T value)
    {
        return to_string(value);
    }

    static bool read(json const& in, T& out, std::string&)
    {
        if (!in.is_string())
        {
            return false;
        }
        for (T candidate : enum_values<T>)
        {
            if (in.get_ref<std::string const&>() == to_string(candidate))
            {
                out = candidate;
                return true;
            }
        }
        return false;
    }
};

template <class T>
struct codec<std::vector<T>>
{
    static json write(std::vector<T> const& values)
    {
        json out = json::array();
        for (T const& value : values)
        {
            out.push_back(codec<T>::write(value));
        }
        return out;
    }

    static bool read(json const& in, std::vector<T>& out, std::string& problem)
    {
        out.clear();
        if (!in.is_array())
        {
            return false;
        }
        for (json const& element : in)
        {
            if (!codec<T>::read(element, out.emplace_back(), problem))
            {
                return false;
            }
        }
        return true;
    }
};

/** A map is an object; a value with a `name` gets it from its key. */
template <class Tag, class T>
struct codec<std::map<identifier<Tag>, T>>
{
    using map_type = std::map<identifier<Tag>, T>;

    static json write(map_type const& values)
    {
        json out = json::object();
        for (typename map_type::value_type const& entry : values)
        {
            out[entry.first.value] = codec<T>::write(entry.second);
        }
        return out;
    }

    static bool read(json const& in, map_type& out, std::string& problem)
    {
        out.clear();
        if (!in.is_object())
        {
            return false;
        }
        for (auto entry = in.begin(); entry != in.end(); ++entry)
        {
            identifier<Tag> const name{entry.key()};
            T& value = out[name];
            if (!codec<T>::read(entry.value(), value, problem))
            {
                return false;
            }
            if constexpr (requires { value.name; })
            {
                value.name = name;
            }
        }
        return true;
    }
};

} // namespace cicada
