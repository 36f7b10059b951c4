// The library ships its implementation as a source file.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
