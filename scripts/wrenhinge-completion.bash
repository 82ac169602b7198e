# Completion of wrenhinge for bash: source this file, or put it into the completions folder.
_wrenhinge()
{
    local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    case $previous in
    upstream) mapfile -t COMPREPLY < <(compgen -W "list drain resume" -- "$word") ;;
    config) mapfile -t COMPREPLY < <(compgen -W "check diff apply show history status" -- "$word") ;;
    request) mapfile -t COMPREPLY < <(compgen -W "explain" -- "$word") ;;
    check | diff | apply) mapfile -t COMPREPLY < <(compgen -f -- "$word") ;;
    *) mapfile -t COMPREPLY < <(compgen -W "status accounts upstream config request timeline metrics --admin --json --number --change-id --author --help --version" -- "$word") ;;
    esac
}
complete -F _wrenhinge wrenhinge
