package brassbank.config.file;

/**
 * A problem found in a file.
 *
 * @param file the name of the file
 * @param line the line, counted from 1; 0 if the problem concerns the whole file
 * @param text what is wrong, without the file and the line
 */
public record Problem(String file, int line, String text) {
  @Override
  public String toString() {
    return file + (line > 0 ? ":" + line : "") + ": " + text;
  }
}
