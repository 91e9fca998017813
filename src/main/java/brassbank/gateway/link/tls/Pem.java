package brassbank.gateway.link.tls;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.InvalidKeySpecException;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads PEM files (RFC 7468): certificates, and a private key as PKCS #8 without a password. What
 * stands between the blocks is left out, as the format allows.
 */
final class Pem {
  /** No sensible file is longer; a wrong path may well be. */
  private static final long MOST_BYTES = 1 << 20;

  private static final Pattern BLOCK =
      Pattern.compile("-----BEGIN ([A-Z0-9 ]+)-----([^-]*)-----END \\1-----");

  private static final List<String> ALGORITHMS = List.of("EC", "RSA", "EdDSA");

  private record Block(String label, byte[] bytes) {}

  private Pem() {}

  private static List<Block> blocks(Path file) throws KeysException {
    String text;
    try {
      if (Files.size(file) > MOST_BYTES) {
        throw new KeysException(file + ": more than " + MOST_BYTES + " bytes");
      }
      text = Files.readString(file, StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      throw new KeysException(file + ": cannot be read: " + e);
    }
    List<Block> blocks = new ArrayList<>();
    Matcher matcher = BLOCK.matcher(text);
    while (matcher.find()) {
      try {
        byte[] bytes = Base64.getMimeDecoder().decode(matcher.group(2).strip());
        blocks.add(new Block(matcher.group(1), bytes));
      } catch (IllegalArgumentException e) {
        int line = (int) text.substring(0, matcher.start()).lines().count() + 1;
        throw new KeysException(file + ":" + line + ": not base 64: " + e.getMessage());
      }
    }
    return blocks;
  }

  /** All certificates of the file, in its order; one or more. */
  static List<X509Certificate> certificates(Path file) throws KeysException {
    List<X509Certificate> certificates = new ArrayList<>();
    for (Block block : blocks(file)) {
      if (block.label.equals("CERTIFICATE")) {
        try {
          certificates.add(
              (X509Certificate)
                  CertificateFactory.getInstance("X.509")
                      .generateCertificate(new ByteArrayInputStream(block.bytes)));
        } catch (GeneralSecurityException e) {
          throw new KeysException(
              file + ": certificate " + (certificates.size() + 1) + ": " + e.getMessage());
        }
      }
    }
    if (certificates.isEmpty()) {
      throw new KeysException(file + ": has no CERTIFICATE");
    }
    return certificates;
  }

  /** The one private key of the file. */
  static PrivateKey key(Path file) throws KeysException {
    List<Block> keys =
        blocks(file).stream().filter(block -> block.label.endsWith("PRIVATE KEY")).toList();
    if (keys.size() != 1) {
      throw new KeysException(file + ": has " + keys.size() + " private keys, not one");
    }
    Block key = keys.get(0);
    if (!key.label.equals("PRIVATE KEY")) {
      throw new KeysException(
          file
              + ": is a "
              + key.label
              + "; make it PKCS #8 without a password (openssl pkcs8 -topk8 -nocrypt)");
    }
    PKCS8EncodedKeySpec spec = new PKCS8EncodedKeySpec(key.bytes);
    for (String algorithm : ALGORITHMS) {
      try {
        return KeyFactory.getInstance(algorithm).generatePrivate(spec);
      } catch (InvalidKeySpecException e) {
        // It is one of another algorithm, or of none.
      } catch (GeneralSecurityException e) {
        throw new KeysException(file + ": " + e.getMessage());
      }
    }
    throw new KeysException(file + ": no key of " + String.join(", ", ALGORITHMS));
  }
}
