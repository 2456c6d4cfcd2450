#include "decode.hpp"
#include "describe_model.hpp"

namespace cicada
{

std::string encode_member(member const& value)
{
    return print_text(codec<member>::write(value));
}

result<member> decode_member(std::string const& text)
{
    return from_text<member>(text);
}

std::string encode_table(ownership_table const& value)
{
    return print_text(codec<ownership_table>::write(value));
}

result<ownership_table> decode_table(std::string const& text)
{
    return from_text<ownership_table>(text);
}

std::string encode_intent(intent const& value)
{
    return print_text(codec<intent>::write(value));
}

result<intent> decode_intent(std::string const& text)
{
    return from_text<intent>(text);
}

std::string encode_job(job_record const& value)
{
    return print_text(codec<job_record>::write(value));
}

result<job_record> decode_job(std::string const& text)
{
    return from_text<job_record>(text);
}

} // namespace cicada
