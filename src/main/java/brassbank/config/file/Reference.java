package brassbank.config.file;

/** The reference of all keys, made from their declarations. */
public final class Reference {
  private Reference() {}

  /** A page in Markdown. */
  public static String markdown() {
    StringBuilder page = new StringBuilder();
    page.append("# Configuration: the TOML file\n\n");
    page.append("Made by `brassbank check --keys`; a test holds the two together.\n\n");
    page.append(
        "`serve --config FILE` reads a file of these keys beside the platform's JSON, at\n");
    page.append(
        "the start and at each SIGHUP; `brassbank check FILE` tells all that is wrong with\n");
    page.append(
        "one. Every key may be left out; without `membership.fleet` there is no membership.\n`deploy/brassbank.toml` and `deploy/membership.toml` are examples.\n");
    Keys.tables()
        .forEach(
            (table, text) -> {
              page.append("\n## [").append(table).append("]\n\n").append(text).append("\n\n");
              page.append("| key | default | from, to | what it does |\n");
              page.append("| --- | --- | --- | --- |\n");
              Keys.all().stream()
                  .filter(key -> key.table().equals(table))
                  .forEach(key -> row(page, key));
            });
    return page.toString();
  }

  private static <T extends Comparable<T>> void row(StringBuilder page, Key<T> key) {
    page.append("| `").append(key.path().get(key.path().size() - 1)).append("` | ");
    page.append(
        key.defaultValue() == null ? "none" : "`" + key.type().format(key.defaultValue()) + "`");
    page.append(" | ").append(key.type().range().replace("\"", "")).append(" | ");
    page.append(key.description()).append(" |\n");
  }
}
