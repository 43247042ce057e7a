package io.anvilusher.model.fact;

/**
 * An operator granted a key to a workspace. Only a hash of the secret is kept.
 *
 * @param keyId public part of the key
 * @param workspace the workspace
 * @param secretHash SHA-256 of the secret part, in hexadecimal
 */
public record KeyGranted(String keyId, String workspace, String secretHash) implements Fact {

}
