package brassbank.load;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command {@code load}: measures the same traffic directly and through the proxy, in one run.
 */
@Command(
    name = "load",
    sortOptions = false,
    description = {
      "Measures the same traffic directly and through the proxy, in one run.",
      "Figures are medians of several rounds; every byte is checked."
    })
public final class LoadCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Mixin private Options options;

  @Parameters(
      paramLabel = "MEASUREMENT",
      converter = TitleConverter.class,
      completionCandidates = TitleConverter.class,
      description = "${COMPLETION-CANDIDATES}; default: all of them")
  private List<Measurement> measurements = List.of(Measurement.values());

  /** Converts the titles of measurements, and lists them for the usage help. */
  static final class TitleConverter extends java.util.ArrayList<String>
      implements CommandLine.ITypeConverter<Measurement> {
    private static final long serialVersionUID = 1L;

    TitleConverter() {
      for (Measurement measurement : Measurement.values()) {
        add(measurement.title() + " (" + measurement.description() + ")");
      }
    }

    @Override
    public Measurement convert(String text) {
      for (Measurement measurement : Measurement.values()) {
        if (measurement.title().equals(text)) {
          return measurement;
        }
      }
      throw new CommandLine.TypeConversionException("unknown measurement '" + text + "'");
    }
  }

  @Override
  public Integer call() {
    // Exit status 2 is a usage error; 1 a failed measurement, which includes corrupt data.
    String error = options.validationError();
    if (error != null) {
      throw new ParameterException(spec.commandLine(), error);
    }
    Report report = new Report();
    int status = 0;
    try (TestBed testBed = new TestBed(options)) {
      for (Measurement measurement : measurements) {
        printProgress(measurement.title() + ": warming up");
        measurement.runRound(testBed, new Report(), Math.min(options.seconds, 2));
        for (int i = 1; i <= options.rounds; i++) {
          printProgress(measurement.title() + ": round " + i + " of " + options.rounds);
          measurement.runRound(testBed, report, options.seconds);
        }
      }
    } catch (LoadException e) {
      spec.commandLine().getErr().println("brassbank load: " + e.getMessage());
      status = 1;
    }
    spec.commandLine().getOut().println(options.json ? report.json() : report.text());
    return status;
  }

  /** Prints progress to standard error; standard output carries only the figures. */
  private void printProgress(String text) {
    spec.commandLine().getErr().println(text);
  }
}
