#include "cli/Completion.h"

namespace lacewing::cli {

namespace {

constexpr const char* kScript = R"(# Completion of lacewing for bash:
#   source <(lacewing completion bash)
_lacewing() {
  local current=${COMP_WORDS[COMP_CWORD]} group=${COMP_WORDS[1]}
  local words
  if [ "$COMP_CWORD" -eq 1 ]; then
    words="teams keys share limit queues settings submit status cancel explain
      resolve
      members nodes top drain timeline completion --help --version"
  elif [ "$COMP_CWORD" -eq 2 ]; then
    case $group in
      teams) words="list show create remove" ;;
      keys) words="list create rotate withdraw" ;;
      share) words="set" ;;
      limit) words="show set" ;;
      queues) words="list" ;;
      settings) words="list get set diff history check apply" ;;
      completion) words="bash" ;;
      submit) COMPREPLY=($(compgen -f -- "$current")); return ;;
      timeline) words="--job= --request= --team= --vm= --process= --chrome" ;;
    esac
  else
    words="--output=json --wait --weight= --millicores= --requests= --base="
  fi
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -F _lacewing lacewing
)";

} // namespace

Result<void>
PrintBashCompletion(CommandContext& aContext)
{
  aContext.m_out << kScript;
  return {};
}

} // namespace lacewing::cli
