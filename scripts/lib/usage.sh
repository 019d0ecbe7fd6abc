# Sourced by scripts that take no arguments.

# no_arguments ARGUMENT...: prints the comment at the top of the script for
# --help, and fails for any other argument.
no_arguments() {
  [ $# -eq 0 ] && return 0
  if [ "$1" = --help ] || [ "$1" = -h ]; then
    sed -n '2,/^[^#]/{s/^# \{0,1\}//p}' "$0"
    exit 0
  fi
  echo "$0: unknown argument: $1 (try --help)" >&2
  exit 2
}
