// Entry point: dispatches to the sub-commands in src/cli and turns exceptions into exit codes.
#include <Poco/Exception.h>

#include <exception>
#include <iostream>

#include "cli/demo.hpp"
#include "cli/inspect.hpp"
#include "cli/members.hpp"
#include "cli/options.hpp"
#include "cli/serve.hpp"
#include "cli/signals.hpp"

int main(int count, char** arguments) {
  using namespace topazweir;
  const auto parsed = cli::parseArguments(count, arguments);
  if (!parsed.options) return parsed.exit;
  cli::installSignalHandlers();
  try {
    switch (parsed.options->command) {
      case cli::Options::Command::run:
        return cli::run(*parsed.options);
      case cli::Options::Command::check:
        return cli::check(*parsed.options, std::cout);
      case cli::Options::Command::explain:
        return cli::explain(*parsed.options, std::cout);
      case cli::Options::Command::members:
        return cli::members(*parsed.options, std::cout);
      case cli::Options::Command::demo:
        return cli::demo(*parsed.options);
    }
  } catch (const config::ConfigError& error) {
    std::cerr << "topazweir: " << error.what() << '\n';
    return cli::kUsageError;
  } catch (const Poco::Exception& error) {
    std::cerr << "topazweir: " << error.displayText() << '\n';
  } catch (const std::exception& error) {
    std::cerr << "topazweir: " << error.what() << '\n';
  }
  return cli::kFailed;
}
