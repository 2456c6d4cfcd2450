#include "base64/base64.hpp"

#include <openssl/evp.h>

#include <vector>

namespace cicada
{

namespace
{

constexpr std::size_t group_bytes = 3; //!< of input
constexpr std::size_t group_chars = 4; //!< of text

std::size_t padding_of(std::string const& text)
{
    std::size_t const last = text.find_last_not_of('=');
    return last == std::string::npos ? text.size() : text.size() - last - 1;
}

} // namespace

std::string to_base64(std::string const& bytes)
{
    std::size_t const groups = (bytes.size() + group_bytes - 1) / group_bytes;
    std::vector<unsigned char> text(groups * group_chars + 1);
    int const length =
        EVP_EncodeBlock(text.data(),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    return std::string(text.begin(), text.begin() + length);
}

result<std::string> from_base64(std::string const& text)
{
    std::size_t const padding = padding_of(text);
    if (text.size() % group_chars != 0 || padding >= group_bytes)
    {
        return error{error_code::invalid_input, "not base64"};
    }
    std::vector<unsigned char> bytes(text.size() / group_chars * group_bytes);
    int const length =
        EVP_DecodeBlock(bytes.data(),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    if (length < 0)
    {
        return error{error_code::invalid_input, "not base64"};
    }
    std::size_t const kept = static_cast<std::size_t>(length) - padding;
    return std::string(bytes.begin(),
                       bytes.begin() + static_cast<std::ptrdiff_t>(kept));
}

} // namespace cicada
